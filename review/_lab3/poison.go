package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["poison"] = poison }

// poison: a request that crashes targets comes again after all hosts were killed.
func poison(l *lab) bool {
	l.putConfig(4.9, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2}, route{"r-unsafe", "/pufi791/", "unsafe", "bokun", "2000ms", 2})
	var mu sync.Mutex
	type arrival struct {
		at time.Time
		id string
	}
	var arrivals []arrival
	var restarts sync.WaitGroup
	handle := func(u *target, _ net.Conn, _ *bufio.Reader, r *http.Request) (bool, bool) {
		if r.URL.Path != deadlyPath {
			return false, false
		}
		mu.Lock()
		arrivals = append(arrivals, arrival{time.Now(), r.Header.Get("Request-Identifier")})
		n := len(arrivals)
		mu.Unlock()
		l.line("target %s begins to run the deadly request %s and crashes (crash %d)", u.id, r.Header.Get("Request-Identifier"), n)
		if !u.crash() {
			return true, false
		}
		restarts.Add(1)
		time.AfterFunc(3*time.Second, func() {
			defer restarts.Done()
			u.start(3 * time.Second)
		})
		return true, false
	}
	var ups []*target
	for i := range 20 {
		u := l.newTarget("bokun", i%6, 6, 50*time.Millisecond)
		u.handle = handle
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
	// Other clients go on all the time.
	stop := make(chan struct{})
	var others sync.WaitGroup
	lost, served := 0, 0
	for i := range callers {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				go func() {
					a := callers[i].send(http.MethodPost, "/pufi791/9c", newID("other"), "", "book", 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					if a.status == http.StatusOK {
						served++
					} else if a.status != http.StatusServiceUnavailable {
						lost++
					}
				}()
			}
		})
	}
	deadly := func(i int) {
		id := newID("dead")
		l.line("client sends the deadly request as %s to %s", id, l.hosts[i].name)
		a := callers[i].send(http.MethodGet, deadlyPath, id, "17", "", 4*time.Second)
		l.line("client has %d to %s (%v)", a.status, id, a.err)
	}
	crashes := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(arrivals)
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	for i := 0; crashes() < 3 && i < 10; i++ {
		deadly(i % len(l.hosts))
		time.Sleep(500 * time.Millisecond)
	}
	third := time.Now()
	l.line("%d crashes; the client goes on", crashes())
	for i := range 6 {
		deadly(i % len(l.hosts))
		time.Sleep(time.Second)
	}
	if l.trouble {
		for _, h := range l.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range l.hosts {
			<-h.ended
		}
		time.Sleep(2 * time.Second)
		for _, h := range l.hosts {
			h.start()
		}
		l.awaitReady(20 * time.Second)
	}
	ready := time.Now()
	time.Sleep(contact + time.Second)
	for range 3 { // the client does not wait: it asks all machines at once
		var all sync.WaitGroup
		for i := range l.hosts {
			all.Go(func() { deadly(i) })
		}
		all.Wait()
		time.Sleep(2 * time.Second)
	}
	close(stop)
	others.Wait()
	restarts.Wait()
	mu.Lock()
	defer mu.Unlock()
	retries := 0
	for _, a := range arrivals {
		if a.at.Sub(third) > contact && a.at.Sub(ready) > contact {
			retries++
		}
	}
	l.line("retries that reached targets, from machines in touch, later than contact after the third crash: %d (allowed %d)", retries, maxRetries)
	l.line("requests of other clients: %d served, %d neither served nor refused", served, lost)
	return retries <= maxRetries
}
