package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the site for a cold server: coldPerS, coldOverrun and coldSlack.
const (
	coldPerS    = 4.9
	coldOverrun = 1.5
	coldSlack   = 5
	coldLimit   = coldPerS*coldOverrun + coldSlack
)

// stream sends requests at a rate from each zone for a time, each on a new connection.
func (l *lab) stream(perSecond float64, objects int, d time.Duration) (served, other int64) {
	var ok, bad atomic.Int64
	var all sync.WaitGroup
	for i, zone := range zones {
		c := &caller{lab: l, name: "load-" + zone[0], ip: "127.40." + string(rune('1'+i)) + ".1", zone: zone[0], region: zone[1]}
		all.Go(func() {
			var addrs []string
			asked := time.Time{}
			end := time.Now().Add(d)
			tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer tick.Stop()
			for time.Now().Before(end) {
				<-tick.C
				if time.Since(asked) > 2*time.Second {
					addrs, asked = c.addresses(), time.Now()
				}
				if len(addrs) == 0 {
					continue
				}
				addr, object := addrs[rand.IntN(len(addrs))], string(rune('a'+rand.IntN(objects)))
				all.Go(func() {
					if res := c.send(addr, http.MethodGet, "/leit/"+object, object, "", 3*time.Second); res.status == http.StatusOK && res.stamped {
						ok.Add(1)
					} else {
						bad.Add(1)
					}
				})
			}
		})
	}
	all.Wait()
	return ok.Load(), bad.Load()
}

// most returns the largest number of requests that arrived at a server in one second between two times.
func (u *upstream) most(from, to time.Time) (int, time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	best, at := 0, time.Time{}
	for i, first := range u.arrivals {
		if first.Before(from) || first.Add(time.Second).After(to) {
			continue
		}
		n := 0
		for _, t := range u.arrivals[i:] {
			if t.Before(first.Add(time.Second)) {
				n++
			}
		}
		if n > best {
			best, at = n, first
		}
	}
	return best, at
}

// coldUnseen lets the busiest server become cold again while the store is away.
func coldUnseen(program, record string, trouble bool) int {
	l := newLab(program, record, trouble, 7, 8)
	for _, u := range l.upstreams {
		u.fragile = true
	}
	type turn struct {
		u    *upstream
		id   string
		from time.Time
	}
	var turns []turn
	go func() {
		time.Sleep(8 * time.Second)
		if !trouble {
			return
		}
		l.note("store   is away for 8 s")
		l.store.setAway(true)
		time.Sleep(4500 * time.Millisecond)
		now := time.Now()
		var busiest *upstream
		best := 0
		for _, u := range l.upstreams {
			if n, _ := u.most(now.Add(-2*time.Second), now); n > best {
				busiest, best = u, n
			}
		}
		l.note("server  %s had %d requests in a second; it becomes cold for %v", busiest.id, best, coldStart)
		turns = append(turns, turn{busiest, busiest.id, now})
		busiest.turnCold(coldStart)
		time.Sleep(3500 * time.Millisecond)
		l.note("store   is back")
		l.store.setAway(false)
	}()
	served, other := l.stream(33, 26, 22*time.Second)
	l.note("requests: %d served, %d not", served, other)
	code := held
	for _, t := range turns {
		n, at := t.u.most(t.from, t.from.Add(coldStart))
		l.note("FAILBACK: %s got %d requests in one second, %.2f s after it became cold; at most %.2f", t.id, n, at.Sub(t.from).Seconds(), coldLimit)
		if float64(n) > coldLimit {
			code = broken
		}
	}
	l.end(code)
	return code
}
