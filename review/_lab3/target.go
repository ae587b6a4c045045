package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// target is a stand-in for a target. It runs what it is sent in a fixed time, in up to slots at once.
type target struct {
	lab                 *lab
	service, zone, addr string
	slots               int
	work                time.Duration
	mu                  sync.Mutex
	id                  string
	born                int64
	sequence            int
	listener            net.Listener
	conns               map[net.Conn]bool
	running             int
	coldUntil           time.Time
	alive               bool
	starts              int
	// keepID makes further starts keep the identifier of the first one.
	keepID bool
	// dark is not nil while the target is silent, and is closed when that ends.
	dark chan struct{}
	// handle, if set, sees each request before it is run; it returns true if it has handled it, with whether the
	// connection goes on.
	handle func(u *target, c net.Conn, in *bufio.Reader, r *http.Request) (handled, goOn bool)
	// observe is called when a request begins to run.
	observe func(u *target, r *http.Request)
}

func (l *lab) newTarget(service string, zone int, slots int, work time.Duration) *target {
	u := &target{lab: l, service: service, zone: l.zones[zone][0], slots: slots, work: work, conns: make(map[net.Conn]bool)}
	ip := l.ip + ".2"
	u.addr = fmt.Sprintf("%s:%d", ip, freePort(ip))
	return u
}

// start starts the target as a new incarnation, cold for a time.
func (u *target) start(cold time.Duration) {
	l, err := net.Listen("tcp", u.addr)
	fail(err)
	u.mu.Lock()
	if u.starts == 0 || !u.keepID {
		u.starts++
	}
	u.id = fmt.Sprintf("i-%s-%s-%d", u.service, strings.ReplaceAll(u.addr[strings.LastIndex(u.addr, ":")+1:], ":", ""), u.starts)
	u.born, u.sequence, u.listener, u.alive = time.Now().UnixMilli(), 0, l, true
	u.coldUntil = time.Now().Add(cold)
	id := u.id
	u.mu.Unlock()
	u.lab.line("target %s starts at %s, cold for %v", id, u.addr, cold)
	u.report("ready")
	go u.accept(l)
	go u.beat(id)
}

func (u *target) beat(id string) {
	for {
		time.Sleep(1500 * time.Millisecond)
		u.mu.Lock()
		on := u.alive && u.id == id
		u.mu.Unlock()
		if !on {
			return
		}
		u.report("ready")
	}
}

// report writes the entry of the target, unless the store is down. The entry changes only when more than the sequence does.
func (u *target) report(state string) {
	if u.lab.store.isDown() {
		return
	}
	u.mu.Lock()
	u.sequence++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemaining":"%dms","sequence":%d,"born":%d}`,
		u.service, u.addr, u.zone, u.slots, state, max(0, time.Until(u.coldUntil).Milliseconds()), u.sequence, u.born)
	id := u.id
	u.mu.Unlock()
	u.lab.store.put("servers", id, value)
}

// crash closes the listener and all connections, and removes the entry after three intervals of silence. It returns false
// if the target had crashed before.
func (u *target) crash() bool {
	u.mu.Lock()
	if !u.alive {
		u.mu.Unlock()
		return false
	}
	u.alive = false
	id, l := u.id, u.listener
	conns := u.conns
	u.conns = make(map[net.Conn]bool)
	u.mu.Unlock()
	_ = l.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(4500*time.Millisecond, func() { u.lab.store.remove("servers", id) })
	return true
}

func (u *target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c)
	}
}

func (u *target) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !u.exchange(c, in, r) {
			return
		}
	}
}

// exchange serves one request and returns whether the connection goes on.
func (u *target) exchange(c net.Conn, in *bufio.Reader, r *http.Request) bool {
	if d := u.darkness(); d != nil {
		<-d
		return false
	}
	id := r.Header.Get("Request-Identifier")
	u.mu.Lock()
	self, running, cold := u.id, u.running, time.Until(u.coldUntil)
	u.mu.Unlock()
	load := fmt.Sprintf("Server-Load: %d,0,%d,100\r\n", running, u.slots)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != self {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Identifier: %s\r\nInstance-Identifier: %s\r\nContent-Length: 0\r\n\r\n", id, self)
		return err == nil
	}
	if r.URL.Path == "/health" {
		extra := ""
		if cold > 0 {
			extra = fmt.Sprintf("Cold-Milliseconds: %d\r\n", cold.Milliseconds())
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Identifier: %s\r\n%s%sContent-Length: 2\r\n\r\nok", self, load, extra)
		return err == nil
	}
	if u.handle != nil {
		if handled, goOn := u.handle(u, c, in, r); handled {
			return goOn
		}
	}
	if running >= u.slots*4 {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Identifier: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", id, load)
		return err == nil
	}
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if u.observe != nil {
		u.observe(u, r)
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return false
	}
	time.Sleep(u.work)
	if d := u.darkness(); d != nil {
		<-d
		return false
	}
	body := fmt.Sprintf("whole answer to %s, %d bytes read\n", id, n)
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Identifier: %s\r\nResponse-Stamp: stamp-%s\r\n%sContent-Length: %d\r\n\r\n%s", id, id, load, len(body), body)
	return err == nil
}
