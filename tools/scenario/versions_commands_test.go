package scenario

import (
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPost sends a POST request and requires the status 200: post URL BODY
func cmdPost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: post URL BODY")
	}
	resp, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("%s: status %d", args[0], resp.StatusCode)
	}
}

// cmdEventually runs a program again and again until it succeeds and its output
// contains every text: eventually PROGRAM ARG... -- TEXT...
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	command, want, found := cutArgs(args)
	if neg || !found || len(command) == 0 {
		ts.Fatalf("usage: eventually PROGRAM ARG... -- TEXT...")
	}
	var out string
	for range int(fetchTimeout / fetchInterval) {
		err := ts.Exec(command[0], command[1:]...)
		out = ts.ReadFile("stdout")
		if err == nil && containsAll(out, want) {
			return
		}
		time.Sleep(fetchInterval)
	}
	ts.Fatalf("%s: got %s, want %q", strings.Join(command, " "), out, want)
}

// cutArgs splits the arguments at the first --.
func cutArgs(args []string) (command, want []string, found bool) {
	for i, a := range args {
		if a == "--" {
			return args[:i], args[i+1:], true
		}
	}
	return nil, nil, false
}
