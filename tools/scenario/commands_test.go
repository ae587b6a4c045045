package scenario

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// fetchPatience bounds how long fetch waits for the wanted answer.
	fetchPatience = 20 * time.Second
	// fetchPause is the time between two tries.
	fetchPause = 50 * time.Millisecond
)

// cmdSubst replaces $NAME by the environment's values inside files.
func cmdSubst(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: subst FILE...")
	}
	for _, file := range args {
		path := ts.MkAbs(file)
		data, err := os.ReadFile(path)
		ts.Check(err)
		ts.Check(os.WriteFile(path, []byte(os.Expand(string(data), ts.Getenv)), 0o644))
	}
}

// cmdFetch asks for a URL until the answer's status line, headers and body hold
// every wanted text, and fails when they never do: fetch [-h Name:Value]... URL TEXT...
// With ! the first answer must hold none of the texts.
func cmdFetch(ts *testscript.TestScript, neg bool, args []string) {
	header := make(http.Header)
	for len(args) > 1 && args[0] == "-h" {
		name, value, _ := strings.Cut(args[1], ":")
		header.Set(name, value)
		args = args[2:]
	}
	if len(args) < 2 {
		ts.Fatalf("usage: fetch [-h Name:Value]... URL TEXT...")
	}
	url, want := args[0], args[1:]
	var answer string
	for deadline := time.Now().Add(fetchPatience); time.Now().Before(deadline); time.Sleep(fetchPause) {
		answer = get(url, header)
		if neg || containsAll(answer, want) {
			break
		}
	}
	ts.Logf("%s", answer)
	if containsAll(answer, want) == neg {
		ts.Fatalf("%s: got %s, want %q (negated: %v)", url, answer, want, neg)
	}
}

func get(from string, header http.Header) string {
	req, err := http.NewRequest(http.MethodGet, from, nil)
	if err != nil {
		return err.Error()
	}
	req.Header = header.Clone()
	resp, err := http.DefaultClient.Do(req)
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err.Error() // without the URL, which may hold the wanted text
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	var headers strings.Builder
	_ = resp.Header.Write(&headers)
	return fmt.Sprintf("%s\n%s\n%s", resp.Status, headers.String(), body)
}

func containsAll(text string, want []string) bool {
	for _, w := range want {
		if !strings.Contains(text, w) {
			return false
		}
	}
	return true
}
