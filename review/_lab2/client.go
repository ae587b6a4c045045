package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// try is one client attempt and what the client got.
type try struct {
	id, method, path string
	at               *host
	sent, answered   time.Time
	// kept is true if the connection has carried a request before.
	kept bool
	// status is 0 if the connection ended without an answer.
	status  int
	stamped bool
	// framed is how the answer's end was marked.
	framed string
	body   []byte
	err    error
}

func (t try) String() string {
	text := fmt.Sprintf("client %s %s %s at %s sent, answered %d ms later: status %d, stamp %v, %d bytes, %s", t.id, t.method, t.path, t.at.name,
		t.answered.Sub(t.sent).Milliseconds(), t.status, t.stamped, len(t.body), t.framed)
	if t.err != nil {
		text += ", " + t.err.Error()
	}
	return text
}

// client uses connections for several requests and finds hosts by the directory.
type client struct {
	l            *lab
	region, zone string
	conn         net.Conn
	in           *bufio.Reader
	at           *host
	used         bool
	addrs        []string
	askedAt      time.Time
	failed       map[string]time.Time
}

var lastID atomic.Int64

// attempt sends a request and waits for the answer for as long as the client's time limit. The error says that there is
// no connection.
func (c *client) attempt(method, path string, body []byte, limit time.Duration) (try, error) {
	if err := c.connect(); err != nil {
		return try{}, err
	}
	t := try{id: fmt.Sprintf("r%06d", lastID.Add(1)), method: method, path: path, at: c.at, kept: c.used, sent: time.Now()}
	c.used = true
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Identifier: %s\r\nDeadline-Milliseconds: %d\r\n", method, path, hostName, t.id, limit.Milliseconds())
	if body != nil {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = c.conn.SetDeadline(t.sent.Add(limit + 500*time.Millisecond))
	conn, written := c.conn, make(chan struct{})
	go func() {
		defer close(written)
		_, _ = conn.Write(append([]byte(head+"\r\n"), body...))
	}()
	r, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		t.err = err
	} else {
		t.status, t.stamped, t.framed = r.StatusCode, r.Header.Get("Response-Stamp") != "", framing(r)
		t.body, t.err = io.ReadAll(r.Body)
	}
	t.answered = time.Now()
	if t.err != nil || r.Close {
		c.close()
	}
	<-written
	c.l.record.addAt(t.answered, "%v", t)
	if t.status == http.StatusServiceUnavailable {
		wait, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), limit/3))
	}
	return t, nil
}

func framing(r *http.Response) string {
	switch {
	case r.ContentLength >= 0:
		return fmt.Sprint("length ", r.ContentLength)
	case len(r.TransferEncoding) > 0:
		return strings.Join(r.TransferEncoding, ",")
	default:
		return "until the end of the connection"
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection, unless there is one, to an address that the directory names, as PROTOCOL.md says.
func (c *client) connect() error {
	if time.Since(c.askedAt) > 2*time.Second {
		for range 3 {
			if addrs := resolve(c.l.hosts[rand.N(len(c.l.hosts))], c.region, c.zone); len(addrs) > 0 {
				c.addrs, c.askedAt = addrs, time.Now()
				break
			}
		}
	}
	if c.conn != nil {
		listed := false
		for _, a := range c.addrs {
			listed = listed || a == c.at.entry
		}
		if listed {
			return nil
		}
		c.close()
	}
	var usable []string
	for _, a := range c.addrs {
		if time.Since(c.failed[a]) > 2*time.Second {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		time.Sleep(100 * time.Millisecond)
		return fmt.Errorf("no address")
	}
	addr := usable[rand.N(len(usable))]
	conn, err := dial(addr)
	if err != nil {
		c.failed[addr] = time.Now()
		return err
	}
	c.conn, c.in, c.at, c.used = conn, bufio.NewReader(conn), c.l.hostAt(addr), false
	return nil
}

// population runs clients until the end; each makes a request, waits a while and makes the next.
func (l *lab) population(clients int, pause time.Duration, end time.Time, request func(c *client) (method, path string, body []byte, limit time.Duration)) []try {
	var mu sync.Mutex
	var all []try
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			p := places[i%6]
			c := &client{l: l, zone: p[0], region: p[1], failed: make(map[string]time.Time)}
			defer c.close()
			for time.Now().Before(end) {
				time.Sleep(pause/2 + rand.N(pause))
				method, path, body, limit := request(c)
				t, err := c.attempt(method, path, body, limit)
				if err == nil {
					mu.Lock()
					all = append(all, t)
					mu.Unlock()
				}
			}
		})
	}
	running.Wait()
	return all
}

// isPrefix reports whether a body is the whole one, or only its start.
func isPrefix(got, whole []byte) (equal, start bool) {
	return bytes.Equal(got, whole), len(got) < len(whole) && bytes.HasPrefix(whole, got)
}
