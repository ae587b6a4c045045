package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cookie"] = cookie }

// cookie: a request that crashes targets comes again with the same path, caller and body, and another Affinity-Key.
func cookie(l *lab) bool {
	l.putConfig(4.9, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2}, route{"r-unsafe", "/pufi791/", "unsafe", "bokun", "2000ms", 2})
	var mu sync.Mutex
	var arrivals []time.Time
	var restarts sync.WaitGroup
	handle := func(u *target, _ net.Conn, _ *bufio.Reader, r *http.Request) (bool, bool) {
		if r.URL.Path != deadlyPath {
			return false, false
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		n := len(arrivals)
		mu.Unlock()
		l.line("target %s begins to run the deadly request %s (%s) and crashes (arrival %d)", u.id, r.Header.Get("Request-Identifier"), r.Header.Get("Cookie"), n)
		if u.crash() {
			restarts.Add(1)
			time.AfterFunc(3*time.Second, func() {
				defer restarts.Done()
				u.start(3 * time.Second)
			})
		}
		return true, false
	}
	for i := range 20 {
		u := l.newTarget("bokun", i%6, 6, 200*time.Millisecond)
		u.handle = handle
		u.start(0)
	}
	for i := range 3 {
		l.addHost(i, 284, 4100, true)
	}
	l.awaitReady(20 * time.Second)
	callers := make([]*caller, 3)
	for i, h := range l.hosts {
		callers[i] = l.newCaller(h)
	}
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var others sync.WaitGroup
	served, refused, unknown := 0, 0, 0
	for i := range callers {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				others.Go(func() {
					a := callers[i].send(http.MethodPost, "/pufi791/9c", newID("other"), fmt.Sprint(n%40), "book", 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					switch a.status {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						refused++
					default:
						unknown++
						l.line("booking %s of another client: status %d (%v)", a.id, a.status, a.err)
					}
				})
			}
		})
	}
	for i := range 20 {
		id, key := newID("dead"), "17"
		if l.trouble {
			key = fmt.Sprint(17 + i)
		}
		l.line("client sends the deadly request as %s to %s, Affinity-Key=%s", id, l.hosts[i%3].name, key)
		a := callers[i%3].send(http.MethodGet, deadlyPath, id, key, "", 3*time.Second)
		l.line("client has %d to %s (%v)", a.status, id, a.err)
		time.Sleep(time.Second)
	}
	close(stop)
	others.Wait()
	restarts.Wait()
	mu.Lock()
	defer mu.Unlock()
	retries := 0
	for n, at := range arrivals {
		if n >= 3 && at.Sub(arrivals[2]) > contact {
			retries++
		}
	}
	l.line("bookings of other clients: %d served, %d refused, %d with an unknown end", served, refused, unknown)
	l.line("the deadly request reached targets %d times; retries later than contact after the third crash: %d (allowed %d)", len(arrivals), retries, maxRetries)
	return retries <= maxRetries
}
