package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beat      = 1500 * time.Millisecond
	coldStart = 3 * time.Second
	slots     = 3
	queue     = 9
)

// upstream is a stand-in of one place at which a server runs. Each start there is a new incarnation
// with a new identifier and a new address.
type upstream struct {
	lab           *lab
	number        int
	ip            string
	service, zone string

	mu       sync.Mutex
	id       string
	starts   int
	born     time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	sequence int
	up       bool
	slot     chan struct{}
	// coldSince and coldUntil are when the server became cold and when it is warm again.
	coldSince, coldUntil time.Time
	// arrivals are when requests arrived that did not get 421, with the hosts that sent them.
	arrivals []time.Time
	// fragile servers crash when they get more requests while they are cold than the rules allow.
	fragile bool
}

func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.ip+":0")
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.starts++
	u.id = fmt.Sprintf("i-%02d-%d", u.number, u.starts)
	u.born, u.listener, u.conns, u.sequence, u.up = time.Now(), l, make(map[net.Conn]bool), 0, true
	u.running, u.waiting, u.slot = 0, 0, make(chan struct{}, slots)
	u.coldSince, u.coldUntil = u.born, u.born.Add(coldStart)
	id := u.id
	u.mu.Unlock()
	go u.accept(l, id)
	go u.beats(id)
	return nil
}

// beats writes the entry of one start while it lives.
func (u *upstream) beats(id string) {
	for {
		u.mu.Lock()
		if !u.up || u.id != id {
			u.mu.Unlock()
			return
		}
		value := u.entry()
		u.mu.Unlock()
		u.lab.report(id, value)
		time.Sleep(beat)
	}
}

// entry returns the next entry in the store. mu must be held.
func (u *upstream) entry() []byte {
	u.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": "v1", "slots": slots,
		"state": "ready", "coldRemaining": strconv.FormatInt(u.cold().Milliseconds(), 10) + "ms", "sequence": u.sequence, "born": u.born.UnixMilli(),
	})
	return value
}

// cold returns how long the server stays cold. mu must be held.
func (u *upstream) cold() time.Duration { return max(0, time.Until(u.coldUntil)) }

// coldOverrun reports whether a cold server has got more requests in the last second than the rules allow, all of
// them while it was cold. mu must be held.
func (u *upstream) coldOverrun() bool {
	if u.cold() == 0 {
		return false
	}
	n := 0
	for _, t := range u.arrivals {
		if time.Since(t) < time.Second && !t.Before(u.coldSince) {
			n++
		}
	}
	return float64(n) > coldLimit
}

// turnCold makes the server cold for a while. Its entry says so when it begins.
func (u *upstream) turnCold(d time.Duration) {
	u.mu.Lock()
	u.coldSince, u.coldUntil = time.Now(), time.Now().Add(d)
	id, value := u.id, u.entry()
	u.mu.Unlock()
	u.lab.report(id, value)
}

// crash ends the process that runs here: its connections break and nobody listens. It is back after
// a while; the entry of the old start expires after three heartbeats.
func (u *upstream) crash(back time.Duration) {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up = false
	id := u.id
	_ = u.listener.Close()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	u.mu.Unlock()
	time.AfterFunc(3*beat, func() { u.lab.report(id, nil) })
	time.AfterFunc(back, func() {
		if err := u.start(); err != nil {
			u.lab.fail("start an upstream: %v", err)
		}
	})
}

func (u *upstream) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c, id)
	}
}

func (u *upstream) serve(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.handle(c, r, body, id) {
			return
		}
	}
}

var stamps atomic.Int64

// handle answers one request. It returns false if the connection has ended.
func (u *upstream) handle(c net.Conn, r *http.Request, body []byte, id string) bool {
	request := r.Header.Get("Request-Identifier")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		return u.send(c, "421 Misdirected Request", id, request, "", "")
	}
	if request == "" { // the health path
		return u.send(c, "200 OK", id, "", "Cold-Milliseconds: "+strconv.FormatInt(u.coldNow().Milliseconds(), 10)+"\r\n", "")
	}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	overrun := u.fragile && u.coldOverrun()
	if u.running+u.waiting >= slots+queue {
		u.mu.Unlock()
		return u.send(c, "503 Service Unavailable", id, request, "Not-Executed: 1\r\n", "")
	}
	u.waiting++
	slot := u.slot
	u.mu.Unlock()
	if overrun {
		u.lab.note("server  %s crashes: more than %.2f requests in a second while it is cold", id, coldLimit)
		u.crash(3 * time.Second)
		return false
	}
	queued := time.Now()
	slot <- struct{}{}
	defer func() { <-slot }()
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
	if closed(c) {
		u.lab.note("server  %s drops %s from its queue, since its connection has closed", id, request)
		return false
	}
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")); err == nil && time.Since(queued) > time.Duration(left)*time.Millisecond {
		return u.send(c, "503 Service Unavailable", id, request, "Not-Executed: 1\r\n", "")
	}
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if u.lab.crashes(r, body) {
		u.lab.ran(request, id, true)
		time.Sleep(30 * time.Millisecond)
		u.crash(3 * time.Second)
		return false
	}
	u.lab.ran(request, id, false)
	time.Sleep(u.lab.runTime(r))
	u.lab.runEnded(request)
	return u.send(c, "200 OK", id, request, fmt.Sprintf("Response-Stamp: s%d\r\n", stamps.Add(1)), "the answer to "+request)
}

// closed reports whether the other end of a connection that waits for a response has closed it.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

func (u *upstream) coldNow() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cold()
}

func (u *upstream) send(c net.Conn, status, id, request, more, body string) bool {
	u.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, slots)
	u.mu.Unlock()
	if request != "" {
		more += "Request-Identifier: " + request + "\r\n"
	}
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nInstance-Identifier: "+id+"\r\nServer-Load: "+load+"\r\n"+more+
		"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}
