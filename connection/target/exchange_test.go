package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

// testTimeout limits how long a test waits for an event.
const testTimeout = 20 * time.Second

// scriptedTarget is a target that runs one script per connection, in the order given; the
// last script is repeated.
type scriptedTarget struct {
	net.Listener
	accepted atomic.Int32
}

func listen(t *testing.T, scripts ...func(c *net.TCPConn, in *bufio.Reader)) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{Listener: l}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.accepted.Add(1))
			c := raw.(*net.TCPConn)
			go func() {
				defer func() { _ = c.Close() }()
				scripts[min(n, len(scripts))-1](c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func readRequest(in *bufio.Reader) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// reply returns a script that reads one request and writes raw bytes.
func reply(raw string) func(*net.TCPConn, *bufio.Reader) {
	return func(c *net.TCPConn, in *bufio.Reader) {
		readRequest(in)
		_, _ = io.WriteString(c, raw)
	}
}

func reset(c *net.TCPConn, in *bufio.Reader) {
	readRequest(in)
	_ = c.SetLinger(0)
}

func silent(c *net.TCPConn, in *bufio.Reader) {
	readRequest(in)
	_, _ = io.Copy(io.Discard, in)
}

// brokenBody returns an error at the end of its text.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("caller is gone")
	}
	return n, err
}

func newRequest(method, body string) *http.Request {
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://bokun/slots", r)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Quetzal-Request-Id", "r1")
	return req
}

const okResponse = "HTTP/1.1 200 OK\r\nQuetzal-Request-Id: r1\r\nContent-Length: 4\r\n\r\nfine"

// TestVerdictAtEachFailurePoint checks the verdict of a failure at every point of an
// exchange. A wrong not-run verdict would make a caller repeat a request that has run.
func TestVerdictAtEachFailurePoint(t *testing.T) {
	brief := 50 * time.Millisecond
	cases := []struct {
		name   string
		script func(*net.TCPConn, *bufio.Reader)
		// body, when set, is sent with POST; broken makes it end with an error.
		body    string
		broken  bool
		timeout time.Duration
		echo    bool
		want    verdict.Verdict
		cause   error
	}{
		{name: "complete response", script: reply(okResponse), echo: true, want: verdict.Ran},
		{name: "interim responses first", script: reply("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse), want: verdict.Ran},
		{name: "refused while dialling", want: verdict.NotRun, cause: syscall.ECONNREFUSED},
		{name: "closed without a response", script: reply(""), want: verdict.MayHaveRun, cause: io.ErrUnexpectedEOF},
		{name: "reset without a response", script: reset, want: verdict.MayHaveRun, cause: syscall.ECONNRESET},
		{name: "partial header", script: reply("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"), want: verdict.MayHaveRun, cause: io.ErrUnexpectedEOF},
		{name: "partial body", script: reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine"), want: verdict.MayHaveRun, cause: io.ErrUnexpectedEOF},
		{name: "partial chunk", script: reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfine"), want: verdict.MayHaveRun, cause: io.ErrUnexpectedEOF},
		{name: "chunks without the last", script: reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"), want: verdict.MayHaveRun, cause: io.ErrUnexpectedEOF},
		{name: "body ended only by the connection", script: reply("HTTP/1.1 200 OK\r\n\r\nfine"), want: verdict.MayHaveRun, cause: ErrNoLength},
		{name: "not HTTP", script: reply("hello\r\n\r\n"), want: verdict.MayHaveRun},
		{name: "endless header", script: reply("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxResponseHeader)), want: verdict.MayHaveRun, cause: errHeaderTooLarge},
		{name: "endless interim responses", script: reply(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20)), want: verdict.MayHaveRun, cause: ErrInterim},
		{name: "protocol switch", script: reply("HTTP/1.1 101 Switching Protocols\r\n\r\n"), want: verdict.MayHaveRun, cause: ErrInterim},
		{name: "response to another request", script: reply(strings.Replace(okResponse, "r1", "r0", 1)), echo: true, want: verdict.MayHaveRun, cause: ErrResponseMismatch},
		{name: "response without the request id", script: reply("HTTP/1.1 204 No Content\r\n\r\n"), echo: true, want: verdict.MayHaveRun, cause: ErrResponseMismatch},
		{name: "deadline while waiting", script: silent, timeout: brief, want: verdict.MayHaveRun, cause: context.DeadlineExceeded},
		{name: "deadline before dialling", script: silent, timeout: -1, want: verdict.NotRun, cause: context.DeadlineExceeded},
		{name: "reading the caller's body fails", script: silent, body: "half", broken: true, want: verdict.MayHaveRun, cause: ErrCallerBody},
		{name: "target responds to an incomplete body", script: reply(okResponse), body: "half", broken: true, want: verdict.MayHaveRun, cause: ErrCallerBody},
		{name: "reset while the body is sent", script: func(c *net.TCPConn, in *bufio.Reader) {
			_, _ = in.ReadByte()
			_ = c.SetLinger(0)
		}, body: strings.Repeat("x", 8<<20), want: verdict.MayHaveRun},
		{name: "response before the body was read", script: func(c *net.TCPConn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = c.CloseWrite()
			time.Sleep(brief) // lets the response arrive before the reset
		}, body: strings.Repeat("x", 8<<20), want: verdict.Ran},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			addr := "127.0.0.1:1"
			if tc.script != nil {
				addr = listen(t, tc.script).Addr().String()
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			if tc.timeout != 0 {
				ctx, cancel = context.WithTimeout(t.Context(), tc.timeout)
			}
			defer cancel()
			var ended atomic.Int32
			done := make(chan struct{})
			call := &Call{Addr: addr, Request: newRequest("GET", ""), Ended: func() {
				if ended.Add(1) == 1 {
					close(done)
				}
			}}
			if tc.body != "" {
				call.Request = newRequest("POST", tc.body)
			}
			if tc.broken {
				call.Request.Body = io.NopCloser(brokenBody{strings.NewReader(tc.body)})
				call.Request.ContentLength = 100
			}
			if tc.echo {
				call.EchoHeader = "Quetzal-Request-Id"
			}
			pool := NewPool(nil)
			defer pool.Close()
			err := exchangeAndRead(ctx, pool, call)
			if got := verdict.Of(err); got != tc.want {
				t.Errorf("verdict %v, want %v (%v)", got, tc.want, err)
			}
			if tc.cause != nil && !errors.Is(err, tc.cause) {
				t.Errorf("got %v, want %v", err, tc.cause)
			}
			select {
			case <-done:
			case <-time.After(testTimeout):
				t.Fatal("the end of the exchange was not reported")
			}
			pool.cancelling.Wait()
			if n := ended.Load(); n != 1 {
				t.Errorf("the end was reported %d times", n)
			}
		})
	}
}

// exchangeAndRead reads the complete response and returns the first error.
func exchangeAndRead(ctx context.Context, pool *Pool, call *Call) error {
	resp, err := pool.Exchange(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestStaleConnection checks that a request is repeated on a new connection only if the
// target closed the reused one before any byte was written.
func TestStaleConnection(t *testing.T) {
	closeAfterOne := reply(okResponse)
	s := listen(t, closeAfterOne, reply(okResponse))
	pool := NewPool(nil)
	defer pool.Close()
	for range 2 {
		if err := exchangeAndRead(t.Context(), pool, &Call{Addr: s.Addr().String(), Request: newRequest("POST", "")}); err != nil {
			t.Fatal(err)
		}
		waitClosed(t, pool, s.Addr().String())
	}

	closeOnSecond := func(c *net.TCPConn, in *bufio.Reader) {
		reply(okResponse)(c, in)
		_, _ = in.ReadByte() // a byte of the second request has arrived
	}
	s = listen(t, closeOnSecond)
	_ = exchangeAndRead(t.Context(), pool, &Call{Addr: s.Addr().String(), Request: newRequest("POST", "")})
	err := exchangeAndRead(t.Context(), pool, &Call{Addr: s.Addr().String(), Request: newRequest("POST", "")})
	if verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("closed after bytes were written: %v", err)
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("request was sent on %d connections", n)
	}
}

// waitClosed waits until the idle connection has been closed by the target or has unread bytes.
func waitClosed(t *testing.T, pool *Pool, addr string) {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		list := pool.idle[addr]
		closed := len(list) == 0 || !list[0].reusable()
		pool.mu.Unlock()
		if closed {
			return
		}
	}
	t.Fatal("connection stayed open")
}

// TestUnsolicitedResponse guards against taking a late response to an earlier request, which
// arrives on an idle connection, as the response to the next one.
func TestUnsolicitedResponse(t *testing.T) {
	twice := reply(okResponse + strings.Replace(okResponse, "fine", "late", 1))
	late := func(c *net.TCPConn, in *bufio.Reader) {
		reply(okResponse)(c, in)
		_, _ = io.WriteString(c, strings.Replace(okResponse, "fine", "late", 1))
		_, _ = io.Copy(io.Discard, in)
	}
	for i, script := range []func(*net.TCPConn, *bufio.Reader){twice, late} {
		s := listen(t, script, reply(okResponse))
		pool := NewPool(nil)
		for range 2 {
			resp, err := pool.Exchange(t.Context(), &Call{Addr: s.Addr().String(), Request: newRequest("GET", "")})
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if string(body) != "fine" {
				t.Errorf("script %d: got %q", i, body)
			}
			waitClosed(t, pool, s.Addr().String())
		}
		pool.Close()
	}
}

// TestCancelWaitsForTarget guards against reporting the end of a cancelled request, and so
// releasing its slot, while the target still runs it.
func TestCancelWaitsForTarget(t *testing.T) {
	cancelled, release := make(chan struct{}), make(chan struct{})
	s := listen(t, func(c *net.TCPConn, in *bufio.Reader) {
		readRequest(in)
		_, _ = io.Copy(io.Discard, in) // ends when the sending side is closed
		close(cancelled)
		<-release
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	pool := NewPool(nil)
	call := &Call{Addr: s.Addr().String(), Request: newRequest("GET", ""), Deadline: time.Now().Add(testTimeout), Ended: func() { close(ended) }}
	time.AfterFunc(20*time.Millisecond, cancel)
	err := exchangeAndRead(ctx, pool, call)
	if verdict.Of(err) != verdict.MayHaveRun || !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled: %v", err)
	}
	<-cancelled
	select {
	case <-ended:
		t.Fatal("the end was reported while the target still ran the request")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the end was not reported")
	}
}

// TestEndReportedForUnresponsiveTarget guards against never reporting the end of a request
// to a target that does not close the connection.
func TestEndReportedForUnresponsiveTarget(t *testing.T) {
	s := listen(t, func(_ *net.TCPConn, in *bufio.Reader) {
		readRequest(in)
		<-t.Context().Done()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	ended := make(chan time.Time, 1)
	deadline := time.Now().Add(20 * time.Millisecond)
	_ = exchangeAndRead(ctx, NewPool(nil), &Call{
		Addr: s.Addr().String(), Request: newRequest("GET", ""), Deadline: deadline,
		Ended: func() { ended <- time.Now() },
	})
	select {
	case at := <-ended:
		if at.Before(deadline.Add(cancelGrace)) {
			t.Errorf("the end was reported %v after the deadline, before the grace of %v", at.Sub(deadline), cancelGrace)
		}
	case <-time.After(testTimeout):
		t.Fatal("the end was not reported")
	}
}

// TestReuse checks that successive requests share one connection.
func TestReuse(t *testing.T) {
	s := listen(t, func(c *net.TCPConn, in *bufio.Reader) {
		for {
			if _, err := in.Peek(1); err != nil {
				return
			}
			reply(okResponse)(c, in)
		}
	})
	pool := NewPool(nil)
	defer pool.Close()
	for i := range 20 {
		body := ""
		if i%2 == 1 {
			body = "text"
		}
		err := exchangeAndRead(t.Context(), pool, &Call{Addr: s.Addr().String(), Request: newRequest("POST", body)})
		if err != nil {
			t.Fatal(fmt.Errorf("request %d: %w", i, err))
		}
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("%d connections for 20 requests", n)
	}
}
