package serve_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// noticeStates are the states of a target after it has said something of itself.
var noticeStates = []string{"leaving", "limited", "paused"}

// expectState checks that the only target is in a state of noticeStates, or in none of them if it is empty.
func (f *fixture) expectState(want string) {
	f.t.Helper()
	for _, state := range noticeStates {
		if is := f.fleet.Count(state, time.Now()) == 1; is != (state == want) {
			f.t.Errorf("the target is %s: %v, want state %q", state, is, want)
		}
	}
}

// TestNoticeOfAnotherResponseDoesNotCount: what is said in a late response to another request, in one without
// a request on a kept connection, or by another target at the address must not count for the target.
func TestNoticeOfAnotherResponseDoesNotCount(t *testing.T) {
	said := standin.Notice{Leaving: true, Limit: "1"}.Fields()
	for name, late := range map[string]string{
		"of another request":             standin.Answer("r0", "text", said...),
		"without a request":              standin.Answer("", "text", said...),
		"a refusal of another request":   standin.ShedAnswer("r0", "Retry-After: 9"),
		"a refusal without a request":    standin.ShedAnswer("", "Retry-After: 9"),
		"of another target":              standin.MisdirectedAnswer("r1", "i-9", said...),
		"of another target without id":   standin.MisdirectedAnswer("", "i-9", said...),
		"of the target, not to requests": standin.MisdirectedAnswer("", "i-1", said...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newLoggedFixture(t)
			targets := f.addScripted("i-1")
			targets.expect(plan{}, plan{first: late})
			f.exchange(upload("/book/1", "r0", 10))
			f.exchange(upload("/book/1", "r1", 10))
			f.expectState("")
		})
	}
}

// TestNoticeCounts: what a target says must count with any response that is its own, also one that breaks off
// in its body.
func TestNoticeCounts(t *testing.T) {
	leaving := standin.Notice{Leaving: true}.Fields()
	broken := standin.Answer("r1", bodyFor("r1"), leaving...)
	for name, test := range map[string]struct{ answer, want string }{
		"complete":   {standin.Answer("r1", bodyFor("r1"), leaving...), "leaving"},
		"broken off": {broken[:len(broken)-3], "leaving"},
		"refusal":    {standin.ShedAnswer("r1", leaving...), "leaving"},
		"limit":      {standin.Answer("r1", bodyFor("r1"), standin.Notice{Limit: "2"}.Fields()...), "limited"},
		"pause":      {standin.ShedAnswer("r1", "Retry-After: 9"), "paused"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newLoggedFixture(t)
			targets := f.addScripted("i-1")
			targets.expect(plan{}, plan{first: test.answer, breaks: true})
			f.exchange(upload("/book/1", "r0", 10))
			f.exchange(upload("/book/1", "r1", 10))
			f.expectState(test.want)
		})
	}
}

// TestCallersWaitForEndOfPause: a caller of a service whose only target wants no requests for a time must be told
// to come back after that.
func TestCallersWaitForEndOfPause(t *testing.T) {
	f, _ := newLoggedFixture(t)
	targets := f.addScripted("i-1")
	targets.expect(plan{}, plan{first: standin.ShedAnswer("r1", "Retry-After: 9"), breaks: true})
	f.exchange(upload("/book/1", "r0", 10))
	f.exchange(upload("/book/1", "r1", 10))
	got := f.exchange(upload("/book/1", "r2", 10))
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || targets.runsOf("r2") > 0 || err != nil || seconds < 8 || seconds > 10 {
		t.Errorf("status %d, Retry-After %v, %v; want 503 and about 9 s", got.status, seconds, err)
	}
}

// TestLinesHaveStateAge: the log line of each request must have the age of the host's state.
func TestLinesHaveStateAge(t *testing.T) {
	f, log := newLoggedFixture(t)
	f.addScripted("i-1")
	f.handler.StateAge = func() time.Duration { return 7 * time.Second }
	f.exchange(upload("/book/1", "r1", 10))
	if got := log.of(t, "r1").StateAge; got != 7000 {
		t.Errorf("state_age_ms is %d, want 7000", got)
	}
}

// TestLinesHaveNewerVersion: the log line of a request that is handled by an old configuration must name the newer one.
func TestLinesHaveNewerVersion(t *testing.T) {
	f, log := newLoggedFixture(t)
	f.addScripted("i-1")
	f.handler.NewestVersion = func() uint64 { return 1 << 40 }
	f.exchange(upload("/book/1", "r1", 10))
	if got := log.of(t, "r1"); got.Newest != 1<<40 {
		t.Errorf("newest_version is %d, want %d", got.Newest, uint64(1)<<40)
	}
	f.handler.NewestVersion = func() uint64 { return 0 }
	f.exchange(upload("/book/1", "r2", 10))
	if got := log.of(t, "r2"); got.Newest != 0 {
		t.Errorf("newest_version is %d though none is newer", got.Newest)
	}
}
