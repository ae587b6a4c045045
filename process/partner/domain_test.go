package partner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// changeBound is the design's bound on how long a change may take to reach all hosts.
	changeBound = 4 * time.Second
	// testRegions and testDomains are the regions and failure domains of a controlFleet.
	testRegions, testDomains = 3, 9
)

// settledFleet returns a fleet whose hosts have known each other for some seconds.
func settledFleet(t *testing.T, hosts int) *controlFleet {
	f := newControlFleet(t, hosts)
	time.Sleep(10 * time.Second)
	return f
}

// storeReaders returns the hosts that read the store.
func (f *controlFleet) storeReaders() []*Group {
	return slices.DeleteFunc(slices.Clone(f.groups), func(g *Group) bool { return !f.reads[g].Load() })
}

// TestStoreGivesEachChangeToFewHosts: when all targets report themselves, the store must give each
// report to minServingHosts of a region or minDomainReaders of a failure domain at most, whatever the
// number of hosts.
func TestStoreGivesEachChangeToFewHosts(t *testing.T) {
	const targets, seconds = 1000, 10
	for hosts, most := range map[int]int{30: testRegions * minServingHosts, 300: testDomains * 2} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settledFleet(t, hosts)
				f.reset()
				for i := range uint64(targets) {
					f.write(table, fmt.Sprintf("i-%d", i), 10+i)
					time.Sleep(seconds * time.Second / targets)
				}
				time.Sleep(2 * feedInterval)
				f.mu.Lock()
				records := f.storeRecords
				f.mu.Unlock()
				t.Logf("%d hosts: %d records from the store for %d changes, %d readers", hosts, records, targets, len(f.storeReaders()))
				if records > most*targets {
					t.Errorf("the store gave %.1f hosts each change, want at most %d", float64(records)/targets, most)
				}
				f.checkAllHave(t, 10+targets-1, nil)
			})
		})
	}
}

// checkAllHave fails unless all hosts but those given have the targets up to a revision.
func (f *controlFleet) checkAllHave(t *testing.T, revision uint64, except []*Group) {
	t.Helper()
	behind := 0
	for _, g := range f.groups {
		if !slices.Contains(except, g) && g.opts.Mirror.Revision(table) < revision {
			behind++
		}
	}
	if behind > 0 {
		t.Errorf("%d hosts lack the change at %d", behind, revision)
	}
}

// cut cuts a host off from all others and from the store.
func (f *controlFleet) cut(g *Group) {
	f.refuse(g)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.groups {
		f.cutLinks[g.opts.Self.Peer+">"+other.opts.Self.Peer] = true
	}
}

// refuse makes the store refuse a host.
func (f *controlFleet) refuse(g *Group) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[g] = true
}

// quickFleet is settledFleet with the pause between two calls of a host that reads changes.
func quickFleet(t *testing.T, hosts int) *controlFleet {
	f := settledFleet(t, hosts)
	f.setFeedInterval(900 * time.Millisecond)
	time.Sleep(feedInterval)
	return f
}

// TestChangesArriveWithoutReaders: when all store readers are lost at once, the changes that follow must reach
// all other hosts within the bound.
func TestChangesArriveWithoutReaders(t *testing.T) {
	for _, hosts := range []int{30, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := quickFleet(t, hosts)
				lost := f.storeReaders()
				for _, g := range lost {
					f.cut(g)
				}
				f.checkChanges(t, 2, lost)
			})
		})
	}
}

// TestChangesArriveWithoutStoreForReaders: when the store refuses all its readers at once, the changes that follow
// must reach all hosts within the bound.
func TestChangesArriveWithoutStoreForReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quickFleet(t, 102)
		for _, g := range f.storeReaders() {
			f.refuse(g)
		}
		f.checkChanges(t, 2, nil)
	})
}

// TestChangesArriveWhileReadersAreLost: when the store readers of a failure domain are lost one after the other, the
// changes between must reach all other hosts within the bound.
func TestChangesArriveWhileReadersAreLost(t *testing.T) {
	for _, hosts := range []int{30, 102} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := quickFleet(t, hosts)
				var lost []*Group
				for range 4 {
					for _, g := range f.storeReaders() {
						if g.opts.Self.Domain == "domain-0-0" {
							lost = append(lost, g)
							f.cut(g)
							break
						}
					}
					f.checkChanges(t, 1, lost)
				}
			})
		})
	}
}

// checkChanges makes changes and fails unless each reaches all hosts but those given within the bound.
func (f *controlFleet) checkChanges(t *testing.T, changes int, except []*Group) {
	t.Helper()
	for range changes {
		f.revision++
		f.write(table, "i-0", 10+f.revision)
		time.Sleep(changeBound)
		f.checkAllHave(t, 10+f.revision, except)
	}
}

func (f *controlFleet) setFeedInterval(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feedInterval = d
}

// TestReaderIsHeardByItsDomain: a store reader of a large region must count as one all the time for each host of its
// failure domain, also when it sends heartbeats in between.
func TestReaderIsHeardByItsDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settledFleet(t, 102)
		for i := range 100 {
			if i%7 == 0 {
				for _, g := range f.storeReaders() {
					g.NotifyNonReaders(context.Background())
				}
			}
			time.Sleep(100 * time.Millisecond)
			if got, most := len(f.storeReaders()), testDomains*2; got > most {
				t.Fatalf("%d hosts read the store, want at most %d", got, most)
			}
		}
	})
}

// TestReadersAndTheirDomainAreMutual: once the hosts have exchanged heartbeats, of a store reader and a host of its failure
// domain each must be a partner of the other, so that one of them makes a call in each interval.
func TestReadersAndTheirDomainAreMutual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settledFleet(t, 102)
		chosen := make(map[string][]string)
		for _, g := range f.groups {
			chosen[g.opts.Self.Name] = names(g.allPartners())
		}
		for _, g := range f.groups {
			for _, name := range chosen[g.opts.Self.Name] {
				other := f.groups[slices.IndexFunc(f.groups, func(o *Group) bool { return o.opts.Self.Name == name })]
				if other.opts.Self.Region == g.opts.Self.Region && !slices.Contains(chosen[name], g.opts.Self.Name) {
					t.Errorf("%s has the partner %s, which has not chosen it", g.opts.Self.Name, name)
				}
			}
		}
	})
}
