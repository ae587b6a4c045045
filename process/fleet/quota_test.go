package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// listOwners is Owners of one host by a list of the hosts: the owners come first in it.
type listOwners struct {
	host int
	list *[]int
}

func (o listOwners) Candidates() int { return len(*o.list) }

func (o listOwners) Owns(_ string, owners int) bool {
	return slices.Contains((*o.list)[:min(owners, len(*o.list))], o.host)
}

// tolerated returns how many requests a target bears in limitWindow that names a limit.
func tolerated(limit float64) float64 { return limitOverrun*limit*limitWindow.Seconds() + limitSlack }

// mostIn returns the largest number of sorted times within limitWindow.
func mostIn(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitHoldsWithTwoListsOfHosts: all hosts together must keep the limit of a target, for any number of
// hosts and any limit, with health checks, with ways of different lengths, and while half of the hosts go by
// another list of the hosts that has no owner in common.
func TestLimitHoldsWithTwoListsOfHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1.9, 2, 3.3, 7, 20, 150}).Draw(t, "limit")
		hosts := rapid.IntRange(1, 80).Draw(t, "hosts")
		var lists [2][]int
		for host := range hosts {
			lists[host%2] = append(lists[host%2], host)
		}
		if rapid.Bool().Draw(t, "one list") {
			lists[0] = append(lists[0], lists[1]...)
			lists[1] = lists[0]
		}
		fleets := make([]*Fleet, hosts)
		for host := range fleets {
			fleets[host] = New(zerolog.Nop(), listOwners{host, &lists[host%2]})
			fleets[host].Upsert(entry("t", nil), start)
			respond(fleets[host], first(fleets[host]), Notice{Limit: Limit{Named: true, PerSecond: limit}}, start.Add(-time.Minute), start)
		}
		down := rapid.Bool().Draw(t, "down")
		var arrived []time.Time
		for ms := 0; ms < 20_000; ms += rapid.IntRange(1, 200).Draw(t, "ms") {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, f := range fleets {
				sent := tryRequest(f, now)
				if down {
					f.MarkDown(first(f), now)
					sent += len(f.DueChecks(now))
				}
				for range sent {
					arrived = append(arrived, now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "way"))*time.Millisecond))
				}
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		if most := mostIn(arrived); float64(most) > tolerated(limit) {
			t.Fatalf("%d requests in %v at a limit of %v a second, at most %v are tolerated", most, limitWindow, limit, tolerated(limit))
		}
	})
}

// tryRequest sends a request to the only target if that is allowed, and returns how many were sent.
func tryRequest(f *Fleet, now time.Time) int {
	f.Lock()
	defer f.Unlock()
	t := f.Service("bokun")[0]
	if !f.Usable(t, now) {
		return 0
	}
	f.Begin(t, Work{}, now)
	return 1
}

// TestLimitIsUsed: the owners must send a good part of what a target takes, whatever the limit and however
// many hosts there are, but on average no more than that.
func TestLimitIsUsed(t *testing.T) {
	const seconds = 200
	for _, hosts := range []int{1, 2, 7, 36} {
		for _, limit := range []float64{0.2, 1, 2, 3.3, 5, 20} {
			list := make([]int, hosts)
			fleets := make([]*Fleet, hosts)
			for host := range fleets {
				list[host] = host
				fleets[host] = New(zerolog.Nop(), listOwners{host, &list})
				fleets[host].Upsert(entry("t", nil), start)
				respond(fleets[host], first(fleets[host]), Notice{Limit: Limit{Named: true, PerSecond: limit}}, start.Add(-time.Minute), start)
			}
			sent := 0
			for ms := 0; ms < seconds*1000; ms += 20 {
				for _, f := range fleets {
					sent += tryRequest(f, start.Add(time.Duration(ms)*time.Millisecond))
				}
			}
			if share := float64(sent) / (limit * seconds); share < 0.6 || share > 1.1 {
				t.Errorf("%d hosts send %.2f of a limit of %v a second", hosts, share, limit)
			}
		}
	}
}
