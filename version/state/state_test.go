package state

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// hostRecord returns a ticket that marks hosts as leaving.
func hostRecord(number uint64, hosts ...string) Record {
	r := Record{Number: number, Content: fmt.Sprint(number)}
	for _, h := range hosts {
		body := json.RawMessage(fmt.Sprintf(`{"kind":"host","name":%q}`, h))
		r.Objects = append(r.Objects, Object{Key: leavingKey(h), Body: body})
	}
	return r
}

func leavingKey(host string) Key { return Key{Kind: KindLeaving, Name: "host/" + host} }

// drawRecords draws tickets with distinct numbers for a small set of objects.
func drawRecords(t *rapid.T) []Record {
	host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4"})
	count := rapid.IntRange(1, 10).Draw(t, "tickets")
	records := make([]Record, count)
	for i := range records {
		hosts := rapid.SliceOfNDistinct(host, 1, 3, rapid.ID[string]).Draw(t, "objects")
		records[i] = hostRecord(uint64(i+1), hosts...)
		if rapid.Bool().Draw(t, "removes") {
			records[i].Objects[0].Removed = true
		}
	}
	return records
}

// drawDelivery draws an arbitrary order of the records, with repetitions.
func drawDelivery(t *rapid.T, records []Record) []Record {
	order := rapid.Permutation(records).Draw(t, "order")
	repeated := rapid.SliceOfN(rapid.SampledFrom(records), 0, 5).Draw(t, "repeated")
	return append(order, repeated...)
}

func mustSnapshot(t interface{ Fatal(...any) }, s *State) *Snapshot {
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		a, b := New(), New()
		a.Merge(records...)
		b.Merge(drawDelivery(t, records)...)
		if a.Sum() != b.Sum() || !reflect.DeepEqual(a.Numbers(), b.Numbers()) {
			t.Fatalf("numbers %v and %v, sums %x and %x", a.Numbers(), b.Numbers(), a.Sum(), b.Sum())
		}
		if !reflect.DeepEqual(mustSnapshot(t, a), mustSnapshot(t, b)) {
			t.Fatal("snapshots differ")
		}
	})
}

// No object reverts to an older ticket, even if deliveries are lost, come from peers
// with an old state, or a restarted host loads the tickets in force.
func TestObjectsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		hosts := []*State{New(), New(), New()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			to := rapid.IntRange(0, 2).Draw(t, "to")
			before := winners(hosts[to], records)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				hosts[to].Merge(rapid.SampledFrom(records).Draw(t, "delivered"))
			case 1:
				from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
				hosts[to].Merge(liveRecords(from)...)
			case 2:
				restarted := New()
				restarted.Merge(liveRecords(hosts[to])...)
				hosts[to] = restarted
			}
			for k, n := range winners(hosts[to], records) {
				if n < before[k] {
					t.Fatalf("%s went from ticket %d to %d", k, before[k], n)
				}
			}
		}
		all := New()
		all.Merge(records...)
		for _, h := range hosts {
			h.Merge(liveRecords(all)...)
			if h.Sum() != all.Sum() || !reflect.DeepEqual(winners(h, records), winners(all, records)) {
				t.Fatal("the tickets in force do not give the complete state")
			}
		}
	})
}

func liveRecords(s *State) []Record {
	var records []Record
	for _, n := range s.Numbers() {
		r, _ := s.Record(n)
		records = append(records, r)
	}
	return records
}

func winners(s *State, records []Record) map[Key]uint64 {
	found := make(map[Key]uint64)
	for _, r := range records {
		for _, o := range r.Objects {
			found[o.Key] = s.Ticket(o.Key)
		}
	}
	return found
}

func TestSupersededTicketsAreDropped(t *testing.T) {
	s := New()
	for n := uint64(1); n <= 1000; n++ {
		s.Merge(hostRecord(n, fmt.Sprint("h", n%5)))
	}
	if got := len(s.Numbers()); got != 5 {
		t.Fatalf("%d tickets are retained, want 5", got)
	}
}

// A ticket that this release cannot decode is skipped entirely: its objects keep
// their last decodable state, and other tickets are not blocked.
func TestUndecodableTicketBlocksNoOther(t *testing.T) {
	s := New()
	s.Merge(hostRecord(1, "h1", "h2"))
	bad := hostRecord(2, "h1", "h3")
	bad.Objects = append(bad.Objects, Object{Key: Key{Kind: "later", Name: "x"}, Body: json.RawMessage(`{}`)})
	s.Merge(bad)
	s.Merge(hostRecord(3, "h4"))
	snap := mustSnapshot(t, s)
	if !reflect.DeepEqual(snap.LeavingHosts, map[string]bool{"h1": true, "h2": true, "h4": true}) {
		t.Fatalf("leaving hosts = %v", snap.LeavingHosts)
	}
	if faults := s.Faults(); len(faults) != 1 || faults[0].Ticket != 2 {
		t.Fatalf("faults = %v", faults)
	}
	s.Merge(hostRecord(4, "h1", "h3"))
	if snap := mustSnapshot(t, s); !snap.LeavingHosts["h3"] {
		t.Fatal("the next ticket did not replace the undecodable one")
	}
}

// Concurrent readers of the holder see all objects of a ticket or none of them.
func TestTicketTakesEffectAtomically(t *testing.T) {
	var h Holder
	s := New()
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				snap := h.Load()
				if snap.LeavingHosts["a"] != snap.LeavingHosts["b"] {
					t.Error("half of a ticket is in force")
				}
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for n := uint64(1); n <= 500; n++ {
		r := hostRecord(n, "a", "b")
		r.Objects[0].Removed, r.Objects[1].Removed = n%2 == 0, n%2 == 0
		s.Merge(r)
		h.Store(mustSnapshot(t, s))
	}
	close(done)
	wg.Wait()
}

// A ticket conflicts with larger ones for its objects and with other content of its number only.
func TestConflictWithTicketInForce(t *testing.T) {
	s := New()
	s.Merge(hostRecord(5, "h1", "h2"), hostRecord(7, "h2"))
	other := hostRecord(5, "h3")
	other.Content = "other"
	for name, c := range map[string]struct {
		ticket Record
		want   Conflict
		found  bool
	}{
		"smaller number":                 {hostRecord(4, "h1"), Conflict{Winner: 5, Object: leavingKey("h1")}, true},
		"larger for one of its objects":  {hostRecord(6, "h1", "h2"), Conflict{Winner: 7, Object: leavingKey("h2")}, true},
		"larger than all":                {hostRecord(8, "h1", "h2"), Conflict{}, false},
		"smaller number, another object": {hostRecord(4, "h3"), Conflict{}, false},
		"same ticket":                    {hostRecord(5, "h1", "h2"), Conflict{Winner: 5}, false},
		"same number with other content": {other, Conflict{Winner: 5}, true},
	} {
		if got, found := s.Conflict(c.ticket); found != c.found || found && got != c.want {
			t.Errorf("%s: got %v, %v; want %v, %v", name, got, found, c.want, c.found)
		}
	}
}
