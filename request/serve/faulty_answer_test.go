package serve_test

import (
	"fmt"
	"net/http"
	"testing"

	"quetzalknot/platform/standin"
)

// TestAnswerCutInItsHeadIsNone: a target breaks off at each byte of its answer's head, with an end or a
// reset of the connection, which is new or was kept. The caller must never get a success of that.
func TestAnswerCutInItsHeadIsNone(t *testing.T) {
	for i, name := range []string{"end, new", "reset, new", "end, kept", "reset, kept"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newLoggedFixture(t)
			targets := f.addScripted("i-1")
			for cut := range headBytes("r100") {
				id := fmt.Sprint("r", 100+cut)
				if kept := i >= 2; kept {
					f.exchange(upload("/search/1", "warm", 10))
				}
				targets.expect(plan{breaks: true, reset: i%2 == 1, sent: cut})
				if got := f.exchange(upload("/book/1", id, 10)); got.status != http.StatusBadGateway || targets.runsOf(id) != 1 {
					t.Errorf("cut after %d bytes: status %d, body %q after %d runs", cut, got.status, got.body, targets.runsOf(id))
				}
			}
		})
	}
}

// TestRefusalWrittenAgain: a target that has refused a request writes that refusal once more on the kept
// connection, while the next request runs or together with its answer. A request that ran must not be told
// as not run, and none that is not idempotent may run again.
func TestRefusalWrittenAgain(t *testing.T) {
	for name, again := range map[string]plan{
		"while the next one runs":             {first: standin.ShedAnswer("r0")},
		"while the next one runs, without id": {first: standin.ShedAnswer("")},
		"with the next answer":                {before: standin.ShedAnswer("r0")},
		"with the next answer, without id":    {before: standin.ShedAnswer("")},
		"and the connection breaks":           {first: standin.ShedAnswer("r0"), breaks: true},
	} {
		for _, kind := range kinds[:2] {
			t.Run(name+"/"+kind.name, func(t *testing.T) {
				t.Parallel()
				f, _ := newLoggedFixture(t)
				targets := f.addScripted("i-1", "i-2")
				for targets.requests.Load() < 10 { // both targets have kept connections
					f.exchange(upload(kind.path, fmt.Sprint("warm", targets.requests.Load()), 10))
				}
				targets.expect(plan{refuses: true}, plan{refuses: true})
				if got := f.exchange(upload(kind.path, "r0", 10)); got.status != http.StatusServiceUnavailable {
					t.Fatalf("the refused request: status %d", got.status)
				}
				targets.expect(again, again)
				got, runs := f.exchange(upload(kind.path, "r1", 10)), targets.runsOf("r1")
				if runs > 1 && !kind.repeatable || got.status == http.StatusServiceUnavailable && runs > 0 {
					t.Errorf("status %d after %d runs", got.status, runs)
				}
				if got.status == http.StatusOK && got.body != bodyFor("r1") {
					t.Errorf("got %q", got.body)
				}
			})
		}
	}
}
