package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["giveup"] = giveup }

const (
	// crashAfter is how long a target works on the deadly request before it crashes. It does not drop the request when
	// its connection closes.
	crashAfter = 600 * time.Millisecond
	// patience is after how long the client leaves: half of the route's objective.
	patience = 300 * time.Millisecond
	// timeLimit is the time limit that the client states.
	timeLimit = 3 * time.Second
	// In each of two windows the client sends the request again and again.
	windowLength, windowPause = 5 * time.Second, 6 * time.Second
	// sendPause is the time from leaving to sending again. The target has crashed before.
	sendPause = 450 * time.Millisecond
)

// giveup: a request that crashes targets comes again and again from a client that leaves before the crash.
func giveup(l *lab) bool {
	l.putConfig(4.9, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2}, route{"r-unsafe", "/pufi791/", "unsafe", "bokun", "2000ms", 2})
	var mu sync.Mutex
	type arrival struct{ at, crashed time.Time }
	var arrivals []*arrival
	var restarts sync.WaitGroup
	handle := func(u *target, _ net.Conn, _ *bufio.Reader, r *http.Request) (bool, bool) {
		if r.URL.Path != deadlyPath {
			return false, false
		}
		id := r.Header.Get("Request-Identifier")
		a := &arrival{at: time.Now()}
		mu.Lock()
		arrivals = append(arrivals, a)
		n := len(arrivals)
		mu.Unlock()
		l.line("target %s begins to run the deadly request %s (arrival %d)", u.id, id, n)
		time.Sleep(crashAfter)
		mu.Lock()
		a.crashed = time.Now()
		mu.Unlock()
		if u.crash() {
			l.line("target %s crashes by %s", u.id, id)
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
	wait := timeLimit // the client stays: the disruption is that it leaves
	if l.trouble {
		wait = patience
	}
	for window := range 2 {
		l.line("window %d of %v", window+1, windowLength)
		for end, i := time.Now().Add(windowLength), 0; time.Now().Before(end); i++ {
			id := newID("dead")
			l.line("client sends the deadly request as %s to %s", id, l.hosts[i%3].name)
			a := callers[i%3].sendAndLeave(http.MethodGet, deadlyPath, id, "17", "", timeLimit, wait)
			if a.status != 0 {
				l.line("client has %d to %s", a.status, id)
			} else {
				l.line("client has left before an answer to %s", id)
			}
			time.Sleep(sendPause)
		}
		time.Sleep(windowPause)
	}
	close(stop)
	others.Wait()
	restarts.Wait()
	mu.Lock()
	defer mu.Unlock()
	var third time.Time
	crashed := 0
	for _, a := range arrivals {
		if crashed++; crashed == 3 {
			third = a.crashed
		}
	}
	retries := 0
	for _, a := range arrivals {
		if !third.IsZero() && a.at.Sub(third) > contact {
			retries++
		}
	}
	l.line("bookings of other clients: %d served, %d refused, %d with an unknown end", served, refused, unknown)
	l.line("the deadly request reached targets %d times; retries later than contact after the third crash: %d (allowed %d)", len(arrivals), retries, maxRetries)
	return retries <= maxRetries
}
