package serve_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"quetzalknot/platform/standin"
)

// TestLateCopyOfAnswer: a second copy of an answer, or a part of one, comes on a connection
// that is in use again: together with the answer, while the connection is idle, or when the
// next request has just run. No caller may get the answer to another request, a request that
// ran may not be told as not run, and the requests behind it must not suffer from it.
func TestLateCopyOfAnswer(t *testing.T) {
	const old = "r0"
	whole := standin.Answer(old, bodyFor(old))
	withoutID := standin.Answer("", bodyFor(old))
	for _, late := range []struct{ name, bytes string }{
		{"whole", whole},
		{"without id", withoutID},
		{"empty", standin.Answer(old, "")},
		{"empty without id", standin.Answer("", "")},
		{"twice", whole + whole},
		{"with a long body", standin.Answer(old, strings.Repeat("x", 100_000))},
		{"not run", standin.ShedAnswer(old)},
		{"not run without id", standin.ShedAnswer("")},
		{"other target", standin.MisdirectedAnswer(old, "i-9")},
		{"other target without id", standin.MisdirectedAnswer("", "i-9")},
		{"the head's start", whole[:12]},
		{"a head without end", whole[:headBytes(old)-2]},
		{"a head", whole[:headBytes(old)]},
		{"half the body", whole[:headBytes(old)+5]},
		{"the body's end", whole[len(whole)-5:]},
		{"an empty line", "\r\n"},
		{"an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		for _, when := range []struct {
			name  string
			plans []plan
		}{
			{"at once", []plan{{behind: late.bytes}}},
			{"idle", []plan{{idle: late.bytes}}},
			{"in use", []plan{{}, {before: late.bytes}}},
			{"in use while the request runs", []plan{{}, {first: late.bytes}}},
		} {
			for _, path := range []string{"/search/1", "/book/1"} {
				t.Run(late.name+"/"+when.name+path, func(t *testing.T) {
					t.Parallel()
					f, _ := newLoggedFixture(t)
					targets := f.addScripted("i-1")
					targets.expect(when.plans...)
					for i := range 5 {
						f.checkBehindCopy(targets, path, fmt.Sprint("r", i), len(when.plans) > 1 && i == 1)
						if when.name == "idle" && i == 0 {
							targets.awaitIdle()
						}
					}
				})
			}
		}
	}
}

// checkBehindCopy sends a request and checks its answer. A disturbed one may fail, but
// truthfully.
func (f *fixture) checkBehindCopy(targets *scripted, path, id string, disturbed bool) {
	f.t.Helper()
	got := f.exchange(upload(path, id, 10))
	runs := targets.runsOf(id)
	switch {
	case runs > 1 && path == "/book/1":
		f.t.Errorf("%s ran %d times", id, runs)
	case got.status == http.StatusOK:
		if got.body != bodyFor(id) || standin.ResponseID(got.header) != id || runs == 0 {
			f.t.Errorf("%s got %q, ran %d times", id, got.body, runs)
		}
	case !disturbed || got.status != http.StatusBadGateway:
		f.t.Errorf("%s: status %d after %d runs", id, got.status, runs)
	}
}
