package claim

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/verdict"
)

// fakeClock is a clock that tests can set.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// TestKeyAges checks keys of different ages. A key that its owner may have forgotten must
// be refused, because the owner could run its request a second time.
func TestKeyAges(t *testing.T) {
	c := newClaims(&memory.Table{}, 1)
	now := time.Unix(1_000_000_020, 0)
	c.opts.Now = func() time.Time { return now }
	self := c.opts.Self()
	cases := []struct {
		name  string
		key   string
		local bool
		err   error
	}{
		{"new", Prefix(self, now) + "a", true, nil},
		{"almost too old", Prefix(self, now.Add(time.Minute-time.Hour)) + "a", true, nil},
		{"too old", Prefix(self, now.Add(-time.Hour-time.Minute)) + "a", false, ErrExpired},
		{"far in the future", Prefix(self, now.Add(time.Hour)) + "a", false, ErrExpired},
		{"earlier process", Prefix(Owner{Host: self.Host, Incarnation: 4}, now) + "a", false, nil},
		{"other host", Prefix(Owner{Host: "h2", Incarnation: 5}, now) + "a", false, nil},
	}
	for _, tc := range cases {
		ownership, err := c.FindOwner(t.Context(), "r", tc.key)
		if !errors.Is(err, tc.err) || (err == nil && ownership.Local != tc.local) {
			t.Errorf("%s: %+v, %v", tc.name, ownership, err)
		}
		if err != nil && verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("%s: %v", tc.name, verdict.Of(err))
		}
	}
}

// TestRegistryForgetsOnlyExpiredKeys checks that keys are forgotten only after they expire,
// even when the registry is full.
func TestRegistryForgetsOnlyExpiredKeys(t *testing.T) {
	c := &fakeClock{at: time.Unix(1000, 0)}
	g := NewRegistry(3, 100, c.now)
	begin := func(key string) (*Entry, bool, error) { return g.Begin(key, c.at.Add(time.Hour)) }
	for i := range 3 {
		e, first, err := begin(fmt.Sprint(i))
		if err != nil || !first {
			t.Fatal(first, err)
		}
		g.Finish(e, ContentHash{}, Response{Verdict: verdict.Ran, Body: make([]byte, 60), Whole: true})
	}
	if _, _, err := begin("3"); !errors.Is(err, ErrFull) {
		t.Errorf("key above the limit: error = %v", err)
	}
	e, first, _ := begin("0")
	if first || g.Response(e).Whole || g.Response(e).Verdict != verdict.Ran {
		t.Error("the oldest response must be evicted, but not its key")
	}
	c.at = c.at.Add(2 * time.Hour)
	if _, first, err := begin("3"); !first || err != nil {
		t.Errorf("after expiry: first = %v, error = %v", first, err)
	}
}

// TestRegistryFreesNotRun checks that a key that was not run can begin again any number
// of times, and that its old entries do not accumulate.
func TestRegistryFreesNotRun(t *testing.T) {
	g := NewRegistry(2, 100, nil)
	for range 100 {
		e, first, err := g.Begin("a", time.Now().Add(time.Hour))
		if !first || err != nil {
			t.Fatal(first, err)
		}
		g.Finish(e, ContentHash{}, Response{Verdict: verdict.NotRun})
		if !e.NotRun() {
			t.Fatal("NotRun is false for an entry that was not run")
		}
	}
	if len(g.insertionOrder) > 2*2+1 {
		t.Errorf("%d entries are kept", len(g.insertionOrder))
	}
}

// TestSweep checks that exactly the expired rows are deleted.
func TestSweep(t *testing.T) {
	table := &memory.Table{}
	c := newClaims(table, 1)
	now := time.Now()
	for i := range 500 {
		age := rowRetention + time.Hour
		if i >= 450 {
			age = time.Hour
		}
		value, err := json.Marshal(claimRow{At: now.Add(-age)})
		if err != nil {
			t.Fatal(err)
		}
		write := platform.Write{Key: fmt.Sprintf("%s%d", claimPrefix, i), Value: value}
		if _, err := table.Commit(t.Context(), nil, []platform.Write{write}); err != nil {
			t.Fatal(err)
		}
	}
	if n := c.sweep(t.Context(), claimPrefix); n != 450 {
		t.Errorf("%d rows were deleted", n)
	}
	left, err := table.Changes(t.Context(), claimPrefix, 0, 1000)
	if err != nil || len(left.Rows) != 50 {
		t.Errorf("%d rows are left, %v", len(left.Rows), err)
	}
}

// TestExpiredResponsesAreDropped: the response of an expired key must not stay in memory,
// and must not take the space of one that still applies.
func TestExpiredResponsesAreDropped(t *testing.T) {
	const bodyBytes, limit = 60, 100
	c := &fakeClock{at: time.Unix(1000, 0)}
	g := NewRegistry(10, limit, c.now)
	finish := func(key string, lifetime time.Duration) *Entry {
		e, first, err := g.Begin(key, c.at.Add(lifetime))
		if err != nil || !first {
			t.Fatal(first, err)
		}
		g.Finish(e, ContentHash{}, Response{Verdict: verdict.Ran, Body: make([]byte, bodyBytes), Whole: true})
		return e
	}
	expired := finish("old", time.Hour)
	c.at = c.at.Add(2 * time.Hour)
	if _, _, err := g.Begin("running", c.at.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	if g.responseBytes != 0 || len(g.withResponse) != 0 || g.Response(expired).Body != nil {
		t.Errorf("%d bytes, %d entries, %d bytes of body are kept of an expired key",
			g.responseBytes, len(g.withResponse), len(g.Response(expired).Body))
	}
	if g.Response(expired).Verdict != verdict.Ran {
		t.Error("a duplicate that still waits does not learn that the request ran")
	}
	kept := finish("new", time.Hour)
	if !g.Response(kept).Whole || g.responseBytes != bodyBytes {
		t.Errorf("whole = %v, %d bytes are kept", g.Response(kept).Whole, g.responseBytes)
	}
}
