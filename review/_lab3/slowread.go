package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slowread"] = slowread }

const (
	// readPause is how long a target works on an upload before it reads the rest of its body.
	readPause = 3000 * time.Millisecond
	// uploadLimit is the time limit of the client, and also the route's timeout.
	uploadLimit = 4 * time.Second
	// uploadBytes is the size of an upload.
	uploadBytes = 300_000
	gracePeriod = 6 * time.Second
)

// slowread: a host is stopped in the planned way while targets read uploads slowly.
func slowread(l *lab) bool {
	l.putConfig(4.9, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2}, route{"r-upload", "/pule252/", "upload", "skjalasafn", "4000ms", 2})
	var mu sync.Mutex
	begun, ended := make(map[string]time.Time), make(map[string]time.Time)
	var n atomic.Int64
	handle := func(u *target, c net.Conn, in *bufio.Reader, r *http.Request) (bool, bool) {
		id := r.Header.Get("Request-Identifier")
		mu.Lock()
		begun[id] = time.Now()
		mu.Unlock()
		n.Add(1)
		l.line("target %s begins to work on %s", u.id, id)
		if l.trouble {
			time.Sleep(readPause)
		}
		size, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			l.line("target %s: the connection of %s ended after %d bytes: %v", u.id, id, size, err)
			return true, false
		}
		if !l.trouble {
			time.Sleep(readPause)
		}
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		ended[id] = time.Now()
		mu.Unlock()
		body := fmt.Sprintf("whole answer to %s, %d bytes read\n", id, size)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Identifier: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
		l.line("target %s answers %s (%v)", u.id, id, err)
		return true, err == nil
	}
	for i := range 3 {
		u := l.newTarget("bokun", i, 6, 20*time.Millisecond)
		u.start(0)
		v := l.newTarget("skjalasafn", i, 6, 0)
		v.handle = handle
		v.start(0)
	}
	for i := range 3 {
		l.addHost(i, 284, 4100, true)
	}
	l.awaitReady(20 * time.Second)
	h := l.hosts[0]
	c := l.newCaller(h)
	time.Sleep(contact + time.Second)
	cut, whole := 0, 0
	var uploads sync.WaitGroup
	for i := range 8 {
		uploads.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			id := newID("up")
			sent := time.Now()
			a := c.send(http.MethodPost, "/pule252/2f", id, fmt.Sprint(i), strings.Repeat("x", uploadBytes), uploadLimit)
			mu.Lock()
			defer mu.Unlock()
			_, atWork := begun[id]
			l.line("client has %d to %s after %v, stamp %q (%v); at work at its target: %v", a.status, id, time.Since(sent).Round(time.Millisecond), a.stamp, a.err, atWork)
			switch {
			case a.status == http.StatusOK && a.stamp != "":
				whole++
			case atWork && (a.status == 0 || a.stamp == "") && time.Since(sent) < uploadLimit-500*time.Millisecond:
				cut++
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	h.signal(syscall.SIGTERM)
	uploads.Wait()
	<-h.ended
	l.line("%s has ended", h.name)
	l.line("uploads: %d answered by their target; after SIGTERM, broken off while their target was at work, well before the time limit and the grace period's last sixth: %d (allowed 0)", whole, cut)
	return cut == 0
}
