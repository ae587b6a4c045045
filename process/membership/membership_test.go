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

// Merging the same entries in any order, also repeatedly, must give the same table.
func TestMergeOrderDoesNotMatter(t *testing.T) {
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

// A member that alternates between dead and alive must be excluded from new work for
// a time that doubles with each recovery.
func TestFlappingMemberIsExcluded(t *testing.T) {
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
			t.Fatal("the member is excluded after its first recovery")
		}
		for i := range 3 {
			flap()
			time.Sleep(firstExclusion<<i - time.Second)
			if live() {
				t.Fatalf("recovery %d: the member is live during its exclusion", i+2)
			}
			time.Sleep(time.Second)
			if !live() {
				t.Fatalf("recovery %d: the member is not live after its exclusion", i+2)
			}
		}
	})
}

// The lease of a process that was paused must not be valid afterwards until a new
// exchange renews it; otherwise the process would act on grants that others have
// taken over in the meantime.
func TestLeaseIsInvalidAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		m.Start(member("a1", 1), nil)
		l := m.Lease()
		if l.Valid(time.Now()) {
			t.Fatal("the lease is valid before any exchange")
		}
		l.Renew(time.Now())
		if !l.Valid(time.Now()) {
			t.Fatal("the lease is not valid after an exchange")
		}
		startedAt := time.Now()
		time.Sleep(LeaseTerm)
		if l.Valid(time.Now()) {
			t.Fatal("the lease is valid after a pause")
		}
		l.Renew(startedAt) // a reply that arrived before the pause and was read after it
		if l.Valid(time.Now()) {
			t.Fatal("a reply from before the pause renewed the lease")
		}
		l.Renew(time.Now())
		mustMerge(t, m, Entry{Member: member("a1", 1), Status: Dead})
		if l.Valid(time.Now()) {
			t.Fatal("the lease is valid although others declared the process dead")
		}
		l.Renew(time.Now())
		mustMerge(t, m, Entry{Member: member("a1", 2)})
		l.Renew(time.Now())
		if l.Valid(time.Now()) || !l.Revoked() {
			t.Fatal("the lease is valid although a later process runs as the host")
		}
	})
}

func TestIncarnationsIncreaseAfterClockStepsBack(t *testing.T) {
	rows := NewRows(&memory.Table{})
	now := time.Now()
	first := rows.NextIncarnation(t.Context(), "a1", now)
	if err := rows.Announce(t.Context(), member("a1", first), now); err != nil {
		t.Fatal(err)
	}
	second := rows.NextIncarnation(t.Context(), "a1", now.Add(-time.Hour))
	if second <= first {
		t.Fatalf("incarnation %d after %d", second, first)
	}
	if err := rows.Announce(t.Context(), member("a1", second), now); err != nil {
		t.Fatal(err)
	}
	if err := rows.Announce(t.Context(), member("a1", first), now); !errors.Is(err, ErrSuperseded) {
		t.Fatalf("the earlier process announced itself: got %v, want ErrSuperseded", err)
	}
}

func TestExpiredRowsAreNotMembers(t *testing.T) {
	table := &memory.Table{}
	rows := NewRows(table)
	now := time.Now()
	for i, at := range []time.Time{now, now.Add(-2 * RowLeaseTerm), now.Add(-2 * expiredRowRetention)} {
		if err := rows.Announce(t.Context(), member(fmt.Sprintf("a%d", i), 1), at); err != nil {
			t.Fatal(err)
		}
	}
	members, _, more, err := rows.Changed(t.Context(), 0, 100, now)
	if err != nil || more || len(members) != 1 || members[0].Host != "a0" {
		t.Fatalf("got %v, %v, %v", members, more, err)
	}
	if _, err := table.Get(context.Background(), hostPrefix+"a2"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("the row that expired long ago: got %v, want ErrNotFound", err)
	}
}

// With 910 hosts, the number that the system is designed for, each host must have
// MaxPartners partners, some in other failure domains and regions, must not be the partner
// of too many others, and must be reached by gossip from one host in a few steps.
func TestPartnersAtDesignSize(t *testing.T) {
	const size, domains, regions = 910, 22, 6
	members := make([]Member, size)
	for i := range members {
		d := i % domains
		members[i] = Member{Host: fmt.Sprintf("host-%03d", i), FailureDomain: fmt.Sprint(d), Region: fmt.Sprint(d * regions / domains)}
	}
	inDegree := make(map[string]int)
	partners := make(map[string][]Member)
	for _, m := range members {
		partners[m.Host] = Partners(m, members)
		otherDomains, otherRegions := 0, 0
		for _, p := range partners[m.Host] {
			inDegree[p.Host]++
			if p.FailureDomain != m.FailureDomain {
				otherDomains++
			}
			if p.Region != m.Region {
				otherRegions++
			}
		}
		if len(partners[m.Host]) != MaxPartners || otherDomains < 4 || otherRegions < 2 {
			t.Fatalf("%s has %d partners, %d in other domains, %d in other regions", m.Host, len(partners[m.Host]), otherDomains, otherRegions)
		}
	}
	maxInDegree := 0
	for _, n := range inDegree {
		maxInDegree = max(maxInDegree, n)
	}
	if maxInDegree > 4*MaxPartners {
		t.Fatalf("a host is the partner of %d others", maxInDegree)
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
	t.Logf("a host is the partner of at most %d others; a push reaches %d of %d hosts in %d steps", maxInDegree, len(reached), size, rounds-1)
	if len(reached) != size || rounds > 10 {
		t.Fatalf("%d of %d hosts are reached in %d steps", len(reached), size, rounds)
	}
}
