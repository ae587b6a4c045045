package scenario

import (
	"fmt"
	"io"
	"net/http"
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
	header, args := parseHeaders(args)
	if len(args) < 2 {
		ts.Fatalf("usage: fetch [-h Name:Value]... URL TEXT...")
	}
	url, want := args[0], args[1:]
	var answer string
	for deadline := time.Now().Add(fetchPatience); time.Now().Before(deadline); time.Sleep(fetchPause) {
		var err error
		answer, err = get(url, header)
		if err != nil {
			ts.Logf("%v", err) // its text has the URL, so it is never compared
			answer = ""
			continue
		}
		if neg || containsAll(answer, want) {
			break
		}
	}
	if answer == "" {
		ts.Fatalf("%s never answered", url)
	}
	ts.Logf("%s", answer)
	if containsAll(answer, want) == neg {
		ts.Fatalf("%s: got %s, want %q (negated: %v)", url, answer, want, neg)
	}
}

// parseHeaders reads leading pairs of -h and Name:Value.
func parseHeaders(args []string) (http.Header, []string) {
	header := make(http.Header)
	for len(args) > 1 && args[0] == "-h" {
		name, value, _ := strings.Cut(args[1], ":")
		header.Set(name, value)
		args = args[2:]
	}
	return header, args
}

// cmdHold sends one request in the background: hold [-h Name:Value]... URL
func cmdHold(ts *testscript.TestScript, neg bool, args []string) {
	header, args := parseHeaders(args)
	if neg || len(args) != 1 {
		ts.Fatalf("usage: hold [-h Name:Value]... URL")
	}
	held := make(chan string, 1)
	worldOf(ts).held = held
	go func() {
		answer, err := get(args[0], header)
		if err != nil {
			answer = "broken off"
		}
		held <- answer
	}()
}

// cmdHeld waits for the answer to the request of hold, which must hold every text.
// A connection that broke off has the text "broken off".
func cmdHeld(ts *testscript.TestScript, neg bool, args []string) {
	w := worldOf(ts)
	if neg || w.held == nil || len(args) == 0 {
		ts.Fatalf("usage: held TEXT..., after hold")
	}
	if answer := <-w.held; !containsAll(answer, args) {
		ts.Fatalf("got %s, want %q", answer, args)
	}
}

// get returns the status, the headers and the body of an answer as one text.
func get(url string, header http.Header) (string, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	req.Header = header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	var headers strings.Builder
	_ = resp.Header.Write(&headers)
	return fmt.Sprintf("%s\n%s\n%s", resp.Status, headers.String(), body), nil
}

func containsAll(text string, want []string) bool {
	for _, w := range want {
		if !strings.Contains(text, w) {
			return false
		}
	}
	return true
}
