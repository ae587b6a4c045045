package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["upload"] = upload }

const (
	// usualClients is the number of kept connections before the burst, and burstFactor that of clients in the burst.
	usualClients = 1400
	burstFactor  = 1.7
	// uploadPieces pieces of pieceBytes make up an upload; between two the client's link stalls for linkPause.
	uploadPieces, pieceBytes = 5, 256 << 10
	linkPause                = 800 * time.Millisecond
	uploaders                = 30
)

// upload: clients with slow links upload over kept connections while many other clients come at once.
func upload(l *lab) bool {
	l.putConfig(4.9, route{"r-safe", "/lohu930/", "safe", "bokun", "2000ms", 2}, route{"r-upload", "/pule252/", "upload", "skjalasafn", "4000ms", 2})
	var begun sync.Map
	for i := range 6 {
		u := l.newTarget("bokun", i%3, 400, 20*time.Millisecond)
		u.observe = func(_ *target, r *http.Request) { begun.Store(r.Header.Get("Request-Identifier"), time.Now()) }
		u.start(0)
		v := l.newTarget("skjalasafn", i%3, 60, 50*time.Millisecond)
		v.observe = func(_ *target, r *http.Request) { begun.Store(r.Header.Get("Request-Identifier"), time.Now()) }
		v.start(0)
	}
	for i := range 3 {
		l.addHost(i, 284, 4100, true)
	}
	l.awaitReady(20 * time.Second)
	h := l.hosts[0]
	time.Sleep(contact + time.Second)

	var served, refused, failed, cutGets atomic.Int64
	stop := make(chan struct{})
	var all sync.WaitGroup
	client := func(i int) {
		all.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			var err error
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			for n := 0; ; n++ {
				if c == nil {
					if c, err = net.DialTimeout("tcp", h.entry, time.Second); err != nil {
						c = nil
						failed.Add(1)
					} else {
						in = bufio.NewReader(c)
					}
				}
				if c != nil {
					id := newID("get")
					status, keep := get(c, in, id)
					if _, passedOn := begun.Load(id); status == 0 && passedOn {
						cutGets.Add(1)
					}
					switch {
					case status == http.StatusOK:
						served.Add(1)
					case status == http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						failed.Add(1)
					}
					if !keep {
						c.Close()
						c = nil
					}
				}
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Second):
				}
			}
		})
	}
	for i := range usualClients {
		client(i)
		if i%20 == 0 {
			time.Sleep(25 * time.Millisecond)
		}
	}
	l.line("%d usual clients with kept connections", usualClients)
	time.Sleep(3 * time.Second)

	var lostMu sync.Mutex
	lost := 0
	var uploads sync.WaitGroup
	for i := range uploaders {
		uploads.Go(func() {
			time.Sleep(time.Duration(i) * linkPause / 7)
			for range 4 {
				id := newID("up")
				status, err := uploadOnce(l, h, id)
				at, passedOn := begun.Load(id)
				lostMu.Lock()
				isLost := status == 0 && passedOn
				if isLost {
					lost++
				}
				lostMu.Unlock()
				l.line("upload %s: status %d (%v); at its target: %v%s", id, status, err, passedOn, map[bool]string{true: fmt.Sprintf(" since %.3f; closed without an answer", at2(at, l))}[isLost])
			}
		})
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.line("many users come at once: %.1f times the clients", burstFactor)
		for i := range int((burstFactor - 1) * usualClients) {
			client(usualClients + i)
			if i%20 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	most := 0
	ended := make(chan struct{})
	go func() {
		uploads.Wait()
		close(ended)
	}()
	for waiting := true; waiting; {
		select {
		case <-ended:
			waiting = false
		case <-time.After(250 * time.Millisecond):
			most = max(most, h.descriptors())
		}
	}
	l.line("%s had at most %d descriptors open; its settings give it %d", h.name, most, 4100)
	close(stop)
	all.Wait()
	l.line("other requests: %d served, %d refused, %d failed, of which %d were at their target", served.Load(), refused.Load(), failed.Load(), cutGets.Load())
	l.line("uploads that were passed on from a kept connection to a sound target and closed without an answer: %d (allowed 3)", lost)
	return lost <= 3
}

func at2(at any, l *lab) float64 {
	if t, ok := at.(time.Time); ok {
		return t.Sub(l.started).Seconds()
	}
	return 0
}

// get sends a request over a kept connection and returns the status, 0 for none, and whether the connection is kept.
func get(c net.Conn, in *bufio.Reader, id string) (status int, keep bool) {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Identifier: %s\r\nCookie: Affinity-Key=17\r\nDeadline-Milliseconds: 3000\r\n\r\n", id); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, !resp.Close
}

// uploadOnce makes a connection a kept one by a first request and uploads over it at the pace of a slow link. It reads the
// answer while it sends.
func uploadOnce(l *lab, h *host, id string) (int, error) {
	c, err := net.DialTimeout("tcp", h.entry, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	if status, keep := get(c, in, newID("first")); status != http.StatusOK || !keep {
		return status, fmt.Errorf("the first request has status %d", status)
	}
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	type result struct {
		status int
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			answered <- result{0, err}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		answered <- result{resp.StatusCode, err}
	}()
	_, err = fmt.Fprintf(c, "POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Identifier: %s\r\nCookie: Affinity-Key=17\r\nDeadline-Milliseconds: 4000\r\nContent-Length: %d\r\n\r\n", id, uploadPieces*pieceBytes)
	for n := 0; n < uploadPieces && err == nil; n++ {
		if n > 0 {
			time.Sleep(linkPause)
		}
		_, err = c.Write(bytes.Repeat([]byte{byte('a' + n)}, pieceBytes))
	}
	r := <-answered
	if r.err != nil {
		return 0, r.err
	}
	return r.status, err
}
