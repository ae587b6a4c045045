package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cold"] = cold }

const (
	coldPerS, coldOverrun, coldSlack = 4.9, 1.5, 5.0
	// outage is how long the store leaves all calls unanswered.
	outage = 4500 * time.Millisecond
	// pulse is the time between two groups of requests, and pulseSize their number at each host.
	pulse, pulseSize = 3 * time.Second, 24
)

// cold: a target crashes in a lull and comes back cold, under its identifier, while the store is down.
func cold(l *lab) bool {
	l.putConfig(coldPerS, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2})
	var mu sync.Mutex
	var arrivals []time.Time
	var ups []*target
	handle := func(u *target, _ net.Conn, _ *bufio.Reader, r *http.Request) (bool, bool) {
		u.mu.Lock()
		left := time.Until(u.coldUntil)
		u.mu.Unlock()
		if left > 0 {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			l.line("target %s, cold for %v more, gets %s", u.id, left.Round(time.Millisecond), r.Header.Get("Request-Identifier"))
		}
		return false, false
	}
	for i := range 3 {
		u := l.newTarget("bokun", i, 6, 20*time.Millisecond)
		u.handle, u.keepID = handle, true
		u.start(0)
		ups = append(ups, u)
	}
	for i := range 7 {
		l.addHost(i%6, 284, 4100, true)
	}
	l.awaitReady(20 * time.Second)
	callers := make([]*caller, len(l.hosts))
	for i, h := range l.hosts {
		callers[i] = l.newCaller(h)
	}
	send := func() {
		l.line("clients send %d requests to each of %d hosts", pulseSize, len(callers))
		var all sync.WaitGroup
		for i, c := range callers {
			for n := range pulseSize {
				all.Go(func() {
					time.Sleep(time.Duration(n) * 25 * time.Millisecond)
					c.send(http.MethodGet, "/lohu930/2f", newID(fmt.Sprint("h", i, "-")), fmt.Sprint(n), "", 3*time.Second)
				})
			}
		}
		all.Wait()
	}
	time.Sleep(contact + time.Second)
	next := time.Now()
	worst := 0
	for round := range 4 {
		for range 2 {
			send()
			next = next.Add(pulse)
			time.Sleep(time.Until(next))
		}
		if l.trouble {
			l.line("the store is down for %v", outage)
			l.store.setDown(true)
			time.AfterFunc(outage, func() { l.store.setDown(false) })
		}
		send()
		u := ups[round%len(ups)]
		mu.Lock()
		arrivals = nil
		mu.Unlock()
		l.line("target %s crashes", u.id)
		u.crash()
		time.Sleep(1200 * time.Millisecond)
		u.start(3 * time.Second)
		next = next.Add(pulse)
		time.Sleep(time.Until(next))
		send()
		next = next.Add(pulse)
		time.Sleep(time.Until(next))
		mu.Lock()
		most := 0
		for i := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(arrivals[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		worst = max(worst, most)
		mu.Unlock()
		l.line("the cold target got at most %d requests in one second (allowed %v)", most, coldPerS*coldOverrun+coldSlack)
		time.Sleep(contact)
		next = time.Now()
	}
	return float64(worst) <= coldPerS*coldOverrun+coldSlack
}
