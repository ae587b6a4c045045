package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// upstreamOptions are what an upstream process is told on its command line.
type upstreamOptions struct {
	id, addr string
	slots    int
	// work is how long a request takes, and pieces in how many pieces its answer is sent meanwhile.
	work   time.Duration
	pieces int
	// pauseEach and pause make every n-th request with a body one whose body is read slowly: after its start nothing is
	// read for the time of the pause. 0 means none.
	pauseEach int
	pause     time.Duration
	// unframedEach makes every n-th answer one without a length. 0 means none.
	unframedEach int
	// earlyEach makes every n-th request with a body one that is answered before its body is read, without a length. 0 means
	// none. With resetEarly every second of these answers is reset on the way.
	earlyEach  int
	resetEarly bool
}

// upstream is a stand-in for an upstream, a process of its own. It writes what happens to its standard output, a line
// for each event.
type upstream struct {
	upstreamOptions
	slot                            chan struct{}
	waiting                         atomic.Int32
	uploads, bodies, answers, early atomic.Int64
	mu                              sync.Mutex
}

// queueLength is how many requests wait for a slot before others are turned away.
const queueLength = 6

func runUpstream(o upstreamOptions) error {
	l, err := net.Listen("tcp", o.addr)
	if err != nil {
		return err
	}
	u := &upstream{upstreamOptions: o, slot: make(chan struct{}, o.slots)}
	u.say("listens", "-", o.addr)
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go u.serve(c)
	}
}

// say writes an event with the time in milliseconds.
func (u *upstream) say(event, request, more string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fmt.Fprintf(os.Stdout, "%d %s %s %s\n", time.Now().UnixMilli(), event, request, more)
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !u.exchange(c, r) {
			return
		}
	}
}

// exchange serves one request and returns whether the connection stays open.
func (u *upstream) exchange(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Identifier")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		return u.reject(c, "421 Misdirected Request", id)
	}
	if r.URL.Path == healthPath {
		return u.write(c, u.head("200 OK", "", 0)) == nil
	}
	if id == "" {
		return u.reject(c, "400 Bad Request", id)
	}
	if u.waiting.Add(1) > queueLength {
		u.waiting.Add(-1)
		return u.reject(c, "503 Service Unavailable", id)
	}
	u.slot <- struct{}{}
	u.waiting.Add(-1)
	defer func() { <-u.slot }()
	u.say("begins", id, r.Method+" "+r.URL.Path)
	if strings.HasPrefix(r.URL.Path, poisonPrefix) {
		u.say("crashes", id, r.URL.Path)
		os.Exit(3)
	}
	if u.earlyEach > 0 && r.Body != http.NoBody && u.uploads.Add(1)%int64(u.earlyEach) == 0 {
		u.answerEarly(c, r, id)
		return false
	}
	if !u.readBody(r, id) {
		return false
	}
	return u.answer(c, r, id)
}

// readBody reads a request's body, every pauseEach-th one slowly.
func (u *upstream) readBody(r *http.Request, id string) bool {
	if r.Body == http.NoBody {
		return true
	}
	n := u.bodies.Add(1)
	if u.pauseEach > 0 && n%int64(u.pauseEach) == 0 {
		first, _ := io.CopyN(io.Discard, r.Body, 16<<10)
		u.say("pauses", id, fmt.Sprintf("after %d of %d bytes", first, r.ContentLength))
		time.Sleep(u.pause)
		u.say("reads-on", id, "-")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		u.say("cut", id, strings.ReplaceAll(err.Error(), " ", "_"))
		return false
	}
	return true
}

// wholeBody returns the body of the answer to a request of a path that ends with its length.
func wholeBody(path, id string) []byte {
	_, text, _ := strings.Cut(path[1:], "/")
	text, _, _ = strings.Cut(text, "/")
	n, _ := strconv.Atoi(text)
	line := []byte(id + " of " + path + "\n")
	body := bytes.Repeat(line, n/len(line)+1)
	return body[:n]
}

// answer sends the answer in pieces while the request runs.
func (u *upstream) answer(c net.Conn, r *http.Request, id string) bool {
	body := wholeBody(r.URL.Path, id)
	framed := u.unframedEach == 0 || u.answers.Add(1)%int64(u.unframedEach) != 0
	length := len(body)
	if !framed {
		length = -1
	}
	pieces := max(1, u.pieces)
	time.Sleep(u.work / time.Duration(pieces+1))
	if err := u.write(c, u.head("200 OK", id, length)); err != nil {
		u.say("caller-left", id, "-")
		return false
	}
	if !framed {
		u.say("answers-without-length", id, strconv.Itoa(len(body)))
	}
	for i := range pieces {
		piece := body[len(body)*i/pieces : len(body)*(i+1)/pieces]
		if _, err := c.Write(piece); err != nil {
			u.say("caller-left", id, "-")
			return false
		}
		time.Sleep(u.work / time.Duration(pieces+1))
	}
	u.say("ends", id, strconv.Itoa(len(body)))
	return framed
}

// answerEarly sends an answer without a length before the body is read, and reads on then. It ends with its connection.
func (u *upstream) answerEarly(c net.Conn, r *http.Request, id string) {
	body := wholeBody(r.URL.Path, id)
	u.say("answers-early-without-length", id, strconv.Itoa(len(body)))
	if u.write(c, u.head("200 OK", id, -1)) != nil {
		return
	}
	half := len(body) / 2
	_, _ = c.Write(body[:half])
	time.Sleep(u.work)
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if u.resetEarly && u.early.Add(1)%2 == 0 {
		u.say("resets", id, fmt.Sprintf("after %d of %d bytes", half, len(body)))
		_ = tcp.SetLinger(0)
		return // the caller closes the connection
	}
	_, _ = c.Write(body[half:])
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, r.Body)
	u.say("ends", id, strconv.Itoa(len(body)))
}

func (u *upstream) reject(c net.Conn, status, id string) bool {
	return u.write(c, strings.Replace(u.head(status, id, 0), "Response-Stamp", "Not-Executed: 1\r\nX-Stamp", 1)) == nil
}

func (u *upstream) write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// head returns the header of an answer; a negative length omits it.
func (u *upstream) head(status, id string, length int) string {
	h := "HTTP/1.1 " + status + "\r\nInstance-Identifier: " + u.id + "\r\nResponse-Stamp: stamp." + u.id + "\r\n"
	h += fmt.Sprintf("Server-Load: %d,%d,%d\r\n", len(u.slot), u.waiting.Load(), u.slots)
	if id != "" {
		h += "Request-Identifier: " + id + "\r\n"
	}
	if length >= 0 {
		h += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return h + "\r\n"
}
