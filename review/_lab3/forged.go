package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forged"] = forged }

const (
	// drainBound is the bound of that name, and servesOn how long a target serves after its entry was removed.
	drainBound, servesOn = 2500 * time.Millisecond, 8 * time.Second
	// writtenAfter is the time from the removal to the other writer's entry.
	writtenAfter = time.Second
)

// forged: another writer writes an entry that lacks a field, of a target that has left.
func forged(l *lab) bool {
	l.putConfig(4.9, route{"r-unsafe", "/pufi791/", "unsafe", "bokun", "2000ms", 2})
	var mu sync.Mutex
	left := make(map[string]time.Time)
	late, lost, served, refused := 0, 0, 0, 0
	observe := func(u *target, r *http.Request) {
		id := r.Header.Get("Request-Identifier")
		mu.Lock()
		defer mu.Unlock()
		if at, ok := left[u.id]; ok && time.Since(at) > drainBound {
			late++
			l.line("target %s runs %s %v after its removal was acknowledged", u.id, id, time.Since(at).Round(time.Millisecond))
		}
	}
	var ups []*target
	for i := range 9 {
		u := l.newTarget("bokun", i%6, 6, 300*time.Millisecond)
		u.observe = observe
		u.handle = func(*target, net.Conn, *bufio.Reader, *http.Request) (bool, bool) { return false, false }
		u.start(0)
		ups = append(ups, u)
	}
	for i := range 3 {
		l.addHost(i, 284, 4100, true)
	}
	l.awaitReady(20 * time.Second)
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range l.hosts {
		c := l.newCaller(h)
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				clients.Go(func() {
					a := c.send(http.MethodPost, "/pufi791/9c", newID("book"), fmt.Sprint(n%60), "book", 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					switch a.status {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						refused++
					default:
						lost++
						l.line("booking %s: status %d (%v)", a.id, a.status, a.err)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, u := range ups[:3] {
		u.mu.Lock()
		id := u.id
		u.alive = false // it writes no more
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":"ready","coldRemaining":"0ms","sequence":%d,"born":%d}`,
			u.service, u.addr, u.zone, u.slots, u.sequence, u.born)
		u.mu.Unlock()
		l.store.remove("servers", id)
		mu.Lock()
		left[id] = time.Now()
		mu.Unlock()
		l.line("the entry of %s is removed; it serves for %v more", id, servesOn)
		time.Sleep(writtenAfter)
		if l.trouble {
			l.store.put("servers", id, entry)
			l.line("another writer writes servers/%s: %s", id, entry)
		}
		time.Sleep(servesOn - writtenAfter)
		u.mu.Lock()
		u.alive = true
		u.mu.Unlock()
		l.line("%s exits", id)
		u.crash() // closes the listener and the connections
		time.Sleep(contact)
	}
	close(stop)
	clients.Wait()
	l.line("bookings: %d served, %d refused, %d with an unknown end", served, refused, lost)
	l.line("requests that reached a target later than %v after its removal was acknowledged: %d (allowed 0)", drainBound, late)
	return late == 0
}
