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

// clock is a settable clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// TestKeyAges places keys of every age. A key that may have been forgotten is refused.
func TestKeyAges(t *testing.T) {
	c := newClaims(&memory.Table{}, 1)
	now := time.Unix(1_000_000_020, 0)
	c.opts.Now = func() time.Time { return now }
	mine := c.opts.Self()
	cases := []struct {
		name string
		key  string
		mine bool
		err  error
	}{
		{"fresh", Prefix(mine, now) + "a", true, nil},
		{"almost too old", Prefix(mine, now.Add(time.Minute-time.Hour)) + "a", true, nil},
		{"too old", Prefix(mine, now.Add(-time.Hour-time.Minute)) + "a", false, ErrExpired},
		{"far in the future", Prefix(mine, now.Add(time.Hour)) + "a", false, ErrExpired},
		{"earlier process", Prefix(Owner{Host: mine.Host, Incarnation: 4}, now) + "a", false, nil},
		{"other host", Prefix(Owner{Host: "h2", Incarnation: 5}, now) + "a", false, nil},
	}
	for _, tc := range cases {
		p, err := c.Place(t.Context(), "r", tc.key)
		if !errors.Is(err, tc.err) || (err == nil && p.Mine != tc.mine) {
			t.Errorf("%s: %+v, %v", tc.name, p, err)
		}
		if err != nil && verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("%s: %v", tc.name, verdict.Of(err))
		}
	}
}

// TestRegistryKeepsKeys forgets keys after their time only, also when it is full.
func TestRegistryKeepsKeys(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	g := NewRegistry(3, 100, c.now)
	begin := func(key string) (*Entry, bool, error) { return g.Begin(key, c.at.Add(time.Hour)) }
	for i := range 3 {
		e, first, err := begin(fmt.Sprint(i))
		if err != nil || !first {
			t.Fatal(first, err)
		}
		g.Finish(e, Sum{}, Answer{Verdict: verdict.Ran, Body: make([]byte, 60), Whole: true})
	}
	if _, _, err := begin("3"); !errors.Is(err, ErrFull) {
		t.Errorf("one key too many: %v", err)
	}
	e, first, _ := begin("0")
	if first || g.Answer(e).Whole || g.Answer(e).Verdict != verdict.Ran {
		t.Error("the oldest answer is to be dropped, but not its key")
	}
	c.at = c.at.Add(2 * time.Hour)
	if _, first, err := begin("3"); !first || err != nil {
		t.Errorf("after the time: %v, %v", first, err)
	}
}

// TestRegistryFreesNotRun lets a key that was not run begin again, many times.
func TestRegistryFreesNotRun(t *testing.T) {
	g := NewRegistry(2, 100, nil)
	for range 100 {
		e, first, err := g.Begin("a", time.Now().Add(time.Hour))
		if !first || err != nil {
			t.Fatal(first, err)
		}
		g.Finish(e, Sum{}, Answer{Verdict: verdict.NotRun})
		if !e.Retracted() {
			t.Fatal("not retracted")
		}
	}
	if len(g.order) > 2*2+1 {
		t.Errorf("%d entries are kept", len(g.order))
	}
}

// TestSweep deletes the rows that are old, oldest first, and no other.
func TestSweep(t *testing.T) {
	table := &memory.Table{}
	c := newClaims(table, 1)
	now := time.Now()
	for i := range 500 {
		age := rowTime + time.Hour
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
