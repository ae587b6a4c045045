package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["dark"] = dark }

// goDark makes the target silent, as a machine without power: what is sent on its connections is not answered, and new
// connections hang, since their first packets are dropped at a full queue. It returns false if the target was down.
func (u *target) goDark() bool {
	u.mu.Lock()
	if !u.alive {
		u.mu.Unlock()
		return false
	}
	u.alive, u.dark = false, make(chan struct{})
	id, l := u.id, u.listener.(*net.TCPListener)
	u.mu.Unlock()
	_ = l.SetDeadline(time.Unix(1, 0)) // ends accept
	raw, err := l.SyscallConn()
	fail(err)
	fail(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
	for range 3 {
		go func() {
			if c, err := net.DialTimeout("tcp", u.addr, 200*time.Millisecond); err == nil {
				<-u.darkness()
				_ = c.Close()
			}
		}()
	}
	time.AfterFunc(4500*time.Millisecond, func() { u.lab.store.remove("servers", id) })
	return true
}

// darkness returns a channel that is closed when the target is no longer dark.
func (u *target) darkness() chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dark
}

// endDark resets what is left of the connections and frees the address, so that the target can start again.
func (u *target) endDark() {
	u.mu.Lock()
	l, conns, dark := u.listener, u.conns, u.dark
	u.conns, u.dark = make(map[net.Conn]bool), nil
	u.mu.Unlock()
	_ = l.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	close(dark)
}

// dark: a request that crashes targets takes their machines with it, so that they are silent.
func dark(l *lab) bool {
	l.putConfig(4.9, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2}, route{"r-unsafe", "/pufi791/", "unsafe", "bokun", "2000ms", 2})
	var mu sync.Mutex
	var arrivals []time.Time
	var restarts sync.WaitGroup
	handle := func(u *target, _ net.Conn, _ *bufio.Reader, r *http.Request) (bool, bool) {
		if r.URL.Path != deadlyPath {
			return false, false
		}
		id := r.Header.Get("Request-Identifier")
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		n := len(arrivals)
		mu.Unlock()
		l.line("target %s begins to run the deadly request %s and crashes (arrival %d)", u.id, id, n)
		if !l.trouble {
			if u.crash() {
				restarts.Add(1)
				time.AfterFunc(3*time.Second, func() {
					defer restarts.Done()
					u.start(3 * time.Second)
				})
			}
			return true, false
		}
		if u.goDark() {
			restarts.Add(1)
			time.AfterFunc(3*time.Second, func() {
				defer restarts.Done()
				u.endDark()
				u.start(3 * time.Second)
			})
		}
		if d := u.darkness(); d != nil {
			<-d
		}
		return true, false
	}
	for i := range 20 {
		u := l.newTarget("bokun", i%6, 6, 50*time.Millisecond)
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
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				others.Go(func() {
					a := callers[i].send(http.MethodPost, "/pufi791/9c", newID("other"), "", "book", 3*time.Second)
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
	for i := range 12 {
		id := newID("dead")
		l.line("client sends the deadly request as %s to %s", id, l.hosts[i%3].name)
		a := callers[i%3].send(http.MethodGet, deadlyPath, id, "17", "", 3*time.Second)
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
