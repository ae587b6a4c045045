package scenario

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// fetchTimeout is how long fetch and eventually wait for the wanted output.
	fetchTimeout = 20 * time.Second
	// fetchInterval is the time between two attempts.
	fetchInterval = 50 * time.Millisecond
)

// cmdSubst replaces $NAME in files with the value of the environment variable: subst FILE...
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

// cmdFetch requests a URL until the response's status line, headers and body contain
// every text, and fails after a timeout: fetch [-h Name:Value]... URL TEXT...
// With ! it fails when the first response contains any of the texts.
func cmdFetch(ts *testscript.TestScript, neg bool, args []string) {
	header, args := parseHeaders(args)
	if len(args) < 2 {
		ts.Fatalf("usage: fetch [-h Name:Value]... URL TEXT...")
	}
	url, want := args[0], args[1:]
	var text string
	for deadline := time.Now().Add(fetchTimeout); time.Now().Before(deadline); time.Sleep(fetchInterval) {
		var err error
		text, err = getText(url, header)
		if err != nil {
			ts.Logf("%v", err) // not compared: the error text contains the URL
			text = ""
			continue
		}
		if neg || asWanted(text, want, false) {
			break
		}
	}
	if text == "" {
		ts.Fatalf("%s: no response", url)
	}
	ts.Logf("%s", text)
	if !asWanted(text, want, neg) {
		ts.Fatalf("%s: got %s, want %q (negated: %v)", url, text, want, neg)
	}
}

// parseHeaders parses leading pairs of -h and Name:Value and returns the other arguments.
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
	stateOf(ts).response = held
	go func() {
		text, err := getText(args[0], header)
		if err != nil {
			text = "broken off"
		}
		held <- text
	}()
}

// cmdHeld waits for the response to the request of cmdHold, which must contain every
// text: held TEXT... A request that failed has the text "broken off".
func cmdHeld(ts *testscript.TestScript, neg bool, args []string) {
	state := stateOf(ts)
	if neg || state.response == nil || len(args) == 0 {
		ts.Fatalf("usage: held TEXT..., after hold")
	}
	if text := <-state.response; !containsAll(text, args) {
		ts.Fatalf("got %s, want %q", text, args)
	}
}

// getText sends a GET request and returns the status, headers and body as one text.
func getText(url string, header http.Header) (string, error) {
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

// asWanted reports whether text contains every wanted text or, if negated, none of them.
func asWanted(text string, want []string, negated bool) bool {
	if !negated {
		return containsAll(text, want)
	}
	for _, w := range want {
		if strings.Contains(text, w) {
			return false
		}
	}
	return true
}

func containsAll(text string, want []string) bool {
	for _, w := range want {
		if !strings.Contains(text, w) {
			return false
		}
	}
	return true
}

// TestNegatedFetchForbidsEachText: with !, each of the texts must be missing, not only all of
// them together.
func TestNegatedFetchForbidsEachText(t *testing.T) {
	for _, tc := range []struct {
		want           []string
		plain, negated bool
	}{
		{[]string{"one"}, true, false}, {[]string{"one", "two"}, true, false}, {[]string{"one", "three"}, false, false},
		{[]string{"three"}, false, true}, {[]string{"three", "four"}, false, true},
	} {
		if got := asWanted("one two", tc.want, false); got != tc.plain {
			t.Errorf("%q: %v, want %v", tc.want, got, tc.plain)
		}
		if got := asWanted("one two", tc.want, true); got != tc.negated {
			t.Errorf("%q, negated: %v, want %v", tc.want, got, tc.negated)
		}
	}
}
