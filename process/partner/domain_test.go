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

// stop cuts a host off from all others. It also no longer reads the store.
func (f *controlFleet) stop(g *Group) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.groupsByPeer(), g.opts.Self.Peer)
	for _, other := range f.groups {
		f.cutLinks[g.opts.Self.Peer+">"+other.opts.Self.Peer] = true
	}
}

func (f *controlFleet) groupsByPeer() map[string]*Group { return f.testNetwork.groups }

// TestChangesArriveWithoutReaders: when all store readers are lost at once, or those of a failure domain one after
// the other, the changes that follow must reach all other hosts within the bound.
func TestChangesArriveWithoutReaders(t *testing.T) {
	for _, hosts := range []int{30, 300} {
		t.Run(fmt.Sprintf("all/%d", hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settledFleet(t, hosts)
				f.setFeedInterval(900 * time.Millisecond)
				time.Sleep(feedInterval)
				lost := f.storeReaders()
				for _, g := range lost {
					f.stop(g)
				}
				for i := range uint64(3) {
					f.write(table, "i-0", 10+i)
					time.Sleep(changeBound)
					f.checkAllHave(t, 10+i, lost)
				}
			})
		})
		t.Run(fmt.Sprintf("one after the other/%d", hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settledFleet(t, hosts)
				f.setFeedInterval(900 * time.Millisecond)
				time.Sleep(feedInterval)
				var lost []*Group
				for i := range uint64(4) {
					readers := slices.DeleteFunc(f.storeReaders(), func(g *Group) bool {
						return slices.Contains(lost, g) || g.opts.Self.Domain != "domain-0-0"
					})
					if len(readers) > 0 {
						lost = append(lost, readers[0])
						f.stop(readers[0])
					}
					f.write(table, "i-0", 10+i)
					time.Sleep(changeBound)
					f.checkAllHave(t, 10+i, lost)
				}
			})
		})
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
		f := settledFleet(t, 300)
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
