package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
)

func member(host string, incarnation uint64) Member {
	return Member{Host: host, Incarnation: incarnation, PeerAddr: host, Region: "r" + host[:1], FailureDomain: "d" + host[:1]}
}

// Entries in any order, with repetitions, give the same view.
func TestAnyOrderGivesTheSameMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Member:  member(rapid.SampledFrom([]string{"a1", "b1"}).Draw(t, "host"), rapid.Uint64Range(1, 3).Draw(t, "incarnation")),
				Counter: rapid.Uint32Range(0, 2).Draw(t, "counter"),
				Status:  Status(rapid.IntRange(0, 1).Draw(t, "status")),
			}
		})
		entries := rapid.SliceOfN(entry, 1, 8).Draw(t, "entries")
		a, b := New(), New()
		for _, e := range entries {
			mustMerge(t, a, e)
		}
		for _, e := range append(rapid.Permutation(entries).Draw(t, "order"), entries[0]) {
			mustMerge(t, b, e)
		}
		if a.Sum() != b.Sum() {
			t.Fatalf("%v and %v", a.All(), b.All())
		}
	})
}

func mustMerge(t interface{ Fatal(...any) }, m *Members, e Entry) {
	if _, err := m.Merge(encodeEntries([]Entry{e})); err != nil {
		t.Fatal(err)
	}
}

func TestMalformedDeltaChangesNothing(t *testing.T) {
	m := New()
	mustMerge(t, m, Entry{Member: member("a1", 1)})
	before := m.Sum()
	long := member("b1", 1)
	long.Region = string(make([]byte, maxFieldBytes+1))
	for _, delta := range [][]byte{
		[]byte("x"),
		encodeEntries([]Entry{{Member: member("b1", 1)}, {Member: member("c1", 0)}}),
		encodeEntries([]Entry{{Member: long}}),
		encodeEntries([]Entry{{Member: member("b1", 1), Status: Dead + 1}}),
	} {
		if changed, err := m.Merge(delta); err == nil || changed || m.Sum() != before {
			t.Errorf("%q: changed %v, %v", delta, changed, err)
		}
	}
}

// A member that keeps coming back from death takes no work for a while.
func TestFlappingMemberIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		m.Start(member("a1", 1), nil)
		e := Entry{Member: member("b1", 1)}
		mustMerge(t, m, e)
		live := func() bool { m.Tick(time.Now()); return len(m.Live()) == 2 }
		flap := func() {
			e.Status = Dead
			mustMerge(t, m, e)
			time.Sleep(time.Second)
			e.Status, e.Counter = Alive, e.Counter+1
			mustMerge(t, m, e)
		}
		flap()
		if !live() {
			t.Fatal("one return holds the member back")
		}
		for i := range 3 {
			flap()
			time.Sleep(firstHold<<i - time.Second)
			if live() {
				t.Fatalf("return %d: the member takes work during the hold", i+2)
			}
			time.Sleep(time.Second)
			if !live() {
				t.Fatalf("return %d: the member takes no work after the hold", i+2)
			}
		}
	})
}

// A process that was paused holds nothing when it wakes, until it is heard again.
func TestPausedHolderHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		m.Start(member("a1", 1), nil)
		l := m.Lease()
		if l.Valid(time.Now()) {
			t.Fatal("valid before any exchange")
		}
		l.Renew(time.Now())
		if !l.Valid(time.Now()) {
			t.Fatal("not valid after an exchange")
		}
		began := time.Now()
		time.Sleep(LeaseTerm)
		if l.Valid(time.Now()) {
			t.Fatal("valid after a pause")
		}
		l.Renew(began) // an answer that arrived before the pause and was read after it
		if l.Valid(time.Now()) {
			t.Fatal("an old answer renews the lease")
		}
		l.Renew(time.Now())
		mustMerge(t, m, Entry{Member: member("a1", 1), Status: Dead})
		if l.Valid(time.Now()) {
			t.Fatal("valid though others count the process as dead")
		}
		l.Renew(time.Now())
		mustMerge(t, m, Entry{Member: member("a1", 2)})
		l.Renew(time.Now())
		if l.Valid(time.Now()) || !l.Revoked() {
			t.Fatal("valid though a later process runs as the host")
		}
	})
}

func TestIncarnationsGrowEvenWithAClockThatWentBack(t *testing.T) {
	rows := NewRows(&memory.Table{})
	now := time.Now()
	first := rows.Incarnation(t.Context(), "a1", now)
	if err := rows.Announce(t.Context(), member("a1", first), now); err != nil {
		t.Fatal(err)
	}
	second := rows.Incarnation(t.Context(), "a1", now.Add(-time.Hour))
	if second <= first {
		t.Fatalf("incarnation %d after %d", second, first)
	}
	if err := rows.Announce(t.Context(), member("a1", second), now); err != nil {
		t.Fatal(err)
	}
	if err := rows.Announce(t.Context(), member("a1", first), now); !errors.Is(err, ErrSuperseded) {
		t.Fatalf("the earlier process: %v", err)
	}
}

func TestLapsedRowsAreNotMembers(t *testing.T) {
	table := &memory.Table{}
	rows := NewRows(table)
	now := time.Now()
	for i, at := range []time.Time{now, now.Add(-2 * RowTerm), now.Add(-2 * rowKept)} {
		if err := rows.Announce(t.Context(), member(fmt.Sprintf("a%d", i), 1), at); err != nil {
			t.Fatal(err)
		}
	}
	members, _, more, err := rows.Changed(t.Context(), 0, 100, now)
	if err != nil || more || len(members) != 1 || members[0].Host != "a0" {
		t.Fatalf("got %v, %v, %v", members, more, err)
	}
	if _, err := table.Get(context.Background(), hostPrefix+"a2"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("the row that lapsed long ago: %v", err)
	}
}

// At the design size each host has few partners, some of them in other failure
// domains, is the partner of few, and all hosts hang together.
func TestPartnersAtDesignSize(t *testing.T) {
	const size, domains, regions = 910, 22, 6
	members := make([]Member, size)
	for i := range members {
		d := i % domains
		members[i] = Member{Host: fmt.Sprintf("host-%03d", i), FailureDomain: fmt.Sprint(d), Region: fmt.Sprint(d * regions / domains)}
	}
	degree := make(map[string]int)
	partners := make(map[string][]Member)
	for _, m := range members {
		partners[m.Host] = Partners(m, members)
		other, far := 0, 0
		for _, p := range partners[m.Host] {
			degree[p.Host]++
			if p.FailureDomain != m.FailureDomain {
				other++
			}
			if p.Region != m.Region {
				far++
			}
		}
		if len(partners[m.Host]) != Degree || other < 4 || far < 2 {
			t.Fatalf("%s has %d partners, %d in other domains, %d in other regions", m.Host, len(partners[m.Host]), other, far)
		}
	}
	most := 0
	for _, n := range degree {
		most = max(most, n)
	}
	if most > 4*Degree {
		t.Fatalf("a host is the partner of %d", most)
	}
	reached := map[string]bool{members[0].Host: true}
	rounds := 0
	for frontier := members[:1]; len(frontier) > 0; rounds++ {
		var next []Member
		for _, m := range frontier {
			for _, p := range partners[m.Host] {
				if !reached[p.Host] {
					reached[p.Host] = true
					next = append(next, p)
				}
			}
		}
		frontier = next
	}
	t.Logf("a host is the partner of at most %d; a push reaches %d of %d hosts in %d steps", most, len(reached), size, rounds-1)
	if len(reached) != size || rounds > 10 {
		t.Fatalf("%d of %d hosts are reached in %d steps", len(reached), size, rounds)
	}
}
