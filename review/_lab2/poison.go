package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// inTouchAfter is how long after its start a machine is in touch, and also from when on retries count after the third crash.
	inTouchAfter = 4 * time.Second
	// poisonGap is the time between two comings of the request, and poisonAtOnce how many machines it comes to then.
	poisonGap, poisonAtOnce = 12 * time.Second, 3
	// allowedRetries is how many retries the rule allows.
	allowedRetries = 3
)

// poison: a request that crashes its upstream comes again and again; once it has crashed three, all hosts are killed at the
// same moment.
func poison(path string, trouble bool) (int, error) {
	l, err := start(path, 7, 20, state, "-work", "200ms")
	running = l
	if err != nil {
		return failed, err
	}
	defer l.stop()
	began := time.Now()
	end := began.Add(80 * time.Second)
	var poisoned []try
	var background sync.WaitGroup
	background.Go(func() { poisoned = l.comeAgain(end) })
	background.Go(func() { err = l.herdKill(trouble, began.Add(32*time.Second)) })
	tries := l.population(20, time.Second, end, func(*client) (string, string, []byte, time.Duration) {
		return "GET", fmt.Sprint("/safe/2000/", rand.N(1000)), nil, 4 * time.Second
	})
	background.Wait()
	if err != nil {
		return failed, err
	}
	served := 0
	for _, t := range tries {
		if t.status == 200 && t.err == nil {
			served++
		}
	}
	crashed := l.eventsOf("", "crashes")
	if served == 0 || len(crashed) < 3 {
		return failed, fmt.Errorf("%d requests were served, %d upstreams crashed", served, len(crashed))
	}
	hostOf := make(map[string]*host)
	for _, t := range poisoned {
		hostOf[t.id] = t.at
	}
	third, retries := crashed[2].at, 0
	for _, e := range crashed[3:] {
		h := hostOf[e.request]
		if h == nil {
			continue
		}
		h.mu.Lock()
		inTouch := e.at.After(h.startedAt.Add(inTouchAfter))
		h.mu.Unlock()
		counts := inTouch && e.at.After(third.Add(inTouchAfter))
		l.record.add("BUDGET: %s by %s crashed upstream %s %d ms after the third crash; counts: %v", e.request, h.name, e.upstream, e.at.Sub(third).Milliseconds(), counts)
		if counts {
			retries++
		}
	}
	l.record.add("%d of %d other requests were served", served, len(tries))
	l.record.add("BUDGET: %d retries of the request reached upstreams later than 4 s after the third crash, by machines in touch; %d are allowed", retries, allowedRetries)
	if retries > allowedRetries {
		return broken, nil
	}
	return held, nil
}

// comeAgain sends the request that crashes its upstreams to some machines at once, again and again.
func (l *lab) comeAgain(end time.Time) []try {
	var mu sync.Mutex
	var all []try
	for next := time.Now().Add(4 * time.Second); next.Before(end); next = next.Add(poisonGap) {
		time.Sleep(time.Until(next))
		var running sync.WaitGroup
		for i := range poisonAtOnce {
			running.Go(func() {
				c := &client{l: l, zone: places[i][0], region: places[i][1], failed: make(map[string]time.Time)}
				defer c.close()
				if t, err := c.attempt("GET", poisonPrefix, nil, 4*time.Second); err == nil {
					mu.Lock()
					all = append(all, t)
					mu.Unlock()
				}
			})
		}
		running.Wait()
	}
	return all
}

// herdKill kills all hosts at the same moment and starts them again a second later.
func (l *lab) herdKill(trouble bool, at time.Time) error {
	time.Sleep(time.Until(at))
	if !trouble {
		return nil
	}
	l.record.add("all hosts get SIGKILL")
	for _, h := range l.hosts {
		process, _ := h.current()
		_ = process.Process.Kill()
	}
	for _, h := range l.hosts {
		_, ended := h.current()
		<-ended
	}
	time.Sleep(time.Second)
	for _, h := range l.hosts {
		if err := l.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if !l.awaitReady(h, 20*time.Second) {
			return fmt.Errorf("%s is not ready", h.name)
		}
	}
	return nil
}
