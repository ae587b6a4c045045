package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site for a planned stop, and the time limits of its routes and clients.
const (
	gracePeriod = 6 * time.Second
	safnTimeout = 8 * time.Second
	safnLimit   = 20 * time.Second
	launaLimit  = 5 * time.Second
	longWork    = "7500ms"
	sentEach    = 6
)

// stopQueued stops a host while requests that it has passed on wait in the queues of busy servers.
func stopQueued(program, record string, trouble bool) int {
	l := newLab(program, record, trouble, 3, 2)
	time.Sleep(contact + time.Second)
	stopped, others := l.hosts[0], l.hosts[1:]
	entry := func(h *host) string { return fmt.Sprintf("%s:%d", h.ip, l.port[0]) }
	var all sync.WaitGroup
	for i := range slots*len(l.upstreams) + 2 { // long work, by way of the other hosts, takes all slots
		c := &caller{lab: l, name: "archive", ip: "127.40.9.1", zone: others[i%2].zone, region: others[i%2].region}
		all.Go(func() {
			c.send(entry(others[i%2]), http.MethodGet, fmt.Sprintf("/safn/%d?work=%s", i, longWork), fmt.Sprint("o", i), "", safnLimit)
		})
	}
	time.Sleep(400 * time.Millisecond)
	var mu sync.Mutex
	limits := make(map[string]time.Duration)
	var sent []result
	send := func(method, path, body string, limit, bound time.Duration) {
		c := &caller{lab: l, name: "waiting", ip: "127.40.8.1", zone: stopped.zone, region: stopped.region}
		all.Go(func() {
			res := c.send(entry(stopped), method, path, path, body, limit)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, res)
			limits[res.id] = bound
		})
	}
	for i := range sentEach {
		send(http.MethodGet, fmt.Sprint("/safn/w", i), "", safnLimit, safnTimeout)
	}
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	if trouble {
		l.signal(stopped, syscall.SIGTERM)
	}
	time.Sleep(1600 * time.Millisecond)
	for i := range sentEach {
		send(http.MethodPost, fmt.Sprint("/launa/w", i), "a payroll file", launaLimit, launaLimit)
	}
	all.Wait()
	code := l.judgeStop(sent, limits, stoppedAt)
	l.end(code)
	return code
}

// judgeStop finds the requests that LOST counts: sent whole to the stopped host, ended without a complete answer,
// before the client's limit and the route's timeout, and not at work at a server in the last sixth of the grace period.
func (l *lab) judgeStop(sent []result, limits map[string]time.Duration, stoppedAt time.Time) int {
	lost := 0
	lastSixth := stoppedAt.Add(gracePeriod * 5 / 6)
	for _, res := range sent {
		if res.err == nil || res.endedAt.Sub(res.sentAt) >= limits[res.id] {
			continue
		}
		l.mu.Lock()
		run, ran := l.atWork[res.id]
		l.mu.Unlock()
		if ran && (run[1].IsZero() || run[1].After(lastSixth)) {
			l.note("not counted: %s was still at work in the last sixth of the grace period", res.id)
			continue
		}
		if res.status != 0 {
			continue
		}
		lost++
		l.note("counted: %s, sent %.1f s after SIGTERM, ended without an answer %.2f s after SIGTERM; time left %.1f s; ran: %v",
			res.id, res.sentAt.Sub(stoppedAt).Seconds(), res.endedAt.Sub(stoppedAt).Seconds(), (limits[res.id] - res.endedAt.Sub(res.sentAt)).Seconds(), ran)
	}
	l.note("LOST: %d of %d requests at the stopped host ended without an answer", lost, len(sent))
	if lost > 0 {
		return broken
	}
	return held
}
