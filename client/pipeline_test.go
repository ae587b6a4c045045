package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pipeHost is a host that reads all requests of a connection and answers them in order.
type pipeHost struct {
	addr  string
	conns atomic.Int64
	// most is the largest number of requests that were read before their responses.
	most atomic.Int64
	// answer returns the response to a path; "" closes the connection.
	answer func(conn int64, path string) string
}

const pipeWait = 10 * time.Second

func newPipeHost(t *testing.T, answer func(conn int64, path string) string) *pipeHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	h := &pipeHost{addr: l.Addr().String(), answer: answer}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(conn, h.conns.Add(1))
		}
	}()
	return h
}

func (h *pipeHost) serve(conn net.Conn, number int64) {
	defer func() { _ = conn.Close() }()
	paths := make(chan string, 1000)
	var waiting atomic.Int64
	go func() {
		defer close(paths)
		for reader := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			h.most.Store(max(h.most.Load(), waiting.Add(1)))
			paths <- r.URL.Path
		}
	}()
	for path := range paths {
		text := h.answer(number, path)
		if text == "" {
			return
		}
		waiting.Add(-1)
		_, _ = io.WriteString(conn, text)
	}
}

func okResponse(body, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), more, body)
}

// noNext fails the test for a request that is not pipelined.
type noNext struct{}

func (noNext) RoundTrip(*http.Request) (*http.Response, error) { return nil, io.ErrClosedPipe }

// fetch sends a request and returns the body of the response.
func fetch(ctx context.Context, p *Pipelined, h *pipeHost, path string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := p.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestPipelinedResponsesBelongToRequests sends many requests at the same time to a host that
// sometimes closes the connection, with a response or without: each request must get its own
// response, and at most the limit may be in flight on a connection.
func TestPipelinedResponsesBelongToRequests(t *testing.T) {
	const limit, requests = 8, 2000
	h := newPipeHost(t, func(_ int64, path string) string {
		switch rand.IntN(40) {
		case 0:
			return okResponse(path, "Connection: close\r\n")
		case 1:
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse(path, "")
		case 2:
			return okResponse(path+strings.Repeat(" ", 100_000), "")
		}
		return okResponse(path, "")
	})
	p := NewPipelined(noNext{}, limit, nil)
	ctx, cancel := context.WithTimeout(t.Context(), pipeWait)
	defer cancel()
	var callers sync.WaitGroup
	for caller := range 40 {
		callers.Go(func() {
			for n := range requests / 40 {
				path := fmt.Sprintf("/%d/%d", caller, n)
				body, err := fetch(ctx, p, h, path)
				if err != nil && !strings.Contains(err.Error(), errUnanswered.Error()) {
					t.Errorf("%s: %v", path, err)
				}
				if err == nil && strings.TrimRight(body, " ") != path {
					t.Errorf("%s got the response to %q", path, body)
				}
			}
		})
	}
	callers.Wait()
	if most := h.most.Load(); most > limit || most < 2 {
		t.Errorf("%d requests were in flight on a connection, limit %d", most, limit)
	}
}

// TestPipelinedIsSentAgain: a request behind a closing response, or on a kept connection that
// the host closes, must be sent again on another connection.
func TestPipelinedIsSentAgain(t *testing.T) {
	both := make(chan struct{})
	h := newPipeHost(t, func(conn int64, path string) string {
		switch {
		case conn == 1 && path == "/first":
			<-both
			return okResponse(path, "Connection: close\r\n")
		case conn == 2 && path == "/third":
			return ""
		}
		return okResponse(path, "")
	})
	p := NewPipelined(noNext{}, 4, nil)
	ctx, cancel := context.WithTimeout(t.Context(), pipeWait)
	defer cancel()
	var callers sync.WaitGroup
	for _, path := range []string{"/first", "/second"} {
		callers.Go(func() {
			if body, err := fetch(ctx, p, h, path); body != path || err != nil {
				t.Errorf("%s: %q, %v", path, body, err)
			}
		})
		for h.most.Load() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	for h.most.Load() < 2 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	close(both)
	callers.Wait()
	if body, err := fetch(ctx, p, h, "/third"); body != "/third" || err != nil {
		t.Errorf("third: %q, %v", body, err)
	}
	if n := h.conns.Load(); n != 3 {
		t.Errorf("%d connections, want 3", n)
	}
}

// TestPipelinedContextEnds: a request whose context ends must return, the one before it must
// get its response, and a body whose context ends must not be read on.
func TestPipelinedContextEnds(t *testing.T) {
	release := make(chan struct{})
	h := newPipeHost(t, func(_ int64, path string) string {
		if path == "/slow" {
			<-release
		}
		if path == "/partial" {
			return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
		}
		return okResponse(path, "")
	})
	p := NewPipelined(noNext{}, 4, nil)
	slow := make(chan string, 1)
	go func() {
		body, _ := fetch(t.Context(), p, h, "/slow")
		slow <- body
	}()
	for h.most.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	for _, path := range []string{"/behind", "/partial"} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if body, err := fetch(ctx, p, h, path); err == nil {
			t.Errorf("%s: %q", path, body)
		}
		cancel()
	}
	close(release)
	if body := <-slow; body != "/slow" {
		t.Errorf("the first got %q", body)
	}
	if body, err := fetch(t.Context(), p, h, "/last"); body != "/last" || err != nil {
		t.Errorf("the last: %q, %v", body, err)
	}
	p.CloseIdleConnections()
}

// TestPipelinedLeavesOthers: requests that are not idempotent or have a body must go to the
// next RoundTripper.
func TestPipelinedLeavesOthers(t *testing.T) {
	p := NewPipelined(noNext{}, 4, nil)
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch} {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://127.0.0.1:1/", strings.NewReader("text"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.RoundTrip(r); err != io.ErrClosedPipe {
			t.Errorf("%s: %v", method, err)
		}
	}
}
