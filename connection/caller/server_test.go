package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// waitLimit bounds the waits of the tests; it is never reached when they pass.
const waitLimit = 10 * time.Second

// goneLimit is the time within which the end of a caller must be noticed.
const goneLimit = 500 * time.Millisecond

// testHandler runs requests whose path names what they do. A request to /hold/ID runs until
// ID is released; one to /abort/ID then aborts its response; one to /close/ID closes the
// connection.
type testHandler struct {
	mu       sync.Mutex
	started  []string
	ended    []string
	gates    map[string]chan struct{}
	contexts map[string]context.Context
}

func newTestHandler() *testHandler {
	return &testHandler{gates: make(map[string]chan struct{}), contexts: make(map[string]context.Context)}
}

func (h *testHandler) gate(id string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[id] == nil {
		h.gates[id] = make(chan struct{})
	}
	return h.gates[id]
}

// release lets the request with the id end.
func (h *testHandler) release(id string) { close(h.gate(id)) }

// ServeHTTP implements http.Handler.
func (h *testHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	kind, id := parts[1], parts[len(parts)-1]
	body, err := io.ReadAll(r.Body)
	h.mu.Lock()
	h.started = append(h.started, id)
	h.contexts[id] = r.Context()
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.ended = append(h.ended, id)
		h.mu.Unlock()
	}()
	if kind != "now" {
		select {
		case <-h.gate(id):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if kind == "abort" || err != nil {
		panic(http.ErrAbortHandler)
	}
	if kind == "close" {
		w.Header().Set("Connection", "close")
	}
	text := id + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (h *testHandler) hasStarted(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.started, id)
}

func (h *testHandler) startedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.started)
}

func (h *testHandler) isCancelled(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx := h.contexts[id]
	return ctx != nil && ctx.Err() != nil
}

func startServer(t testing.TB, h http.Handler) (*Server, string) {
	t.Helper()
	return startServerWithIdle(t, h, waitLimit)
}

func startServerWithIdle(t testing.TB, h http.Handler, idle time.Duration) (*Server, string) {
	t.Helper()
	return startServerOn(t, listen(t), h, idle)
}

func startServerOn(t testing.TB, l net.Listener, h http.Handler, idle time.Duration) (*Server, string) {
	t.Helper()
	return serveOn(t, l, &Server{
		Handler: h, Idempotent: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Limits: func() ConnLimits {
			return ConnLimits{HeaderBytes: 16 << 10, HeaderTimeout: waitLimit, IdleTimeout: idle}
		},
	})
}

// serveOn serves the connections of l until the test has ended.
func serveOn(t testing.TB, l net.Listener, s *Server) (*Server, string) {
	t.Helper()
	served := make(chan struct{})
	go func() {
		_ = s.Serve(l)
		close(served)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
		s.running.Wait()
	})
	return s, l.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// testCaller is a raw connection to a server.
type testCaller struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

func dial(t testing.TB, addr string) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &testCaller{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *testCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// receive reads one response and returns its status, its body and whether it closes the
// connection.
func (c *testCaller) receive() (status int, body string, closes bool, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", false, err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close, err
}

// expect reads one response and compares its body.
func (c *testCaller) expect(body string) {
	c.t.Helper()
	status, got, _, err := c.receive()
	if err != nil || status != http.StatusOK || got != body {
		c.t.Fatalf("response %d %q, %v; want %q", status, got, err, body)
	}
}

// expectEnd checks that the connection ends without a further byte.
func (c *testCaller) expectEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); len(rest) > 0 || errors.Is(err, context.DeadlineExceeded) {
		c.t.Errorf("%q came before the end, %v", rest, err)
	}
}

func eventually(t testing.TB, what string, limit time.Duration, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// TestPipelinedRequestsRunConcurrently: idempotent requests of one connection must run at
// the same time, and their responses must come in the order of the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	c := dial(t, addr)
	c.send(get("/hold/a") + get("/hold/b") + get("/hold/c"))
	eventually(t, "all three run", waitLimit, func() bool { return h.startedCount() == 3 })
	h.release("c")
	h.release("b")
	time.Sleep(20 * time.Millisecond) // a response out of turn would be sent now
	h.release("a")
	c.expect("a")
	c.expect("b")
	c.expect("c")
	c.send(get("/now/d"))
	c.expect("d")
}

// TestNotIdempotentRequestRunsAlone: a request that is not idempotent must start when all
// before it were answered, and nothing behind it may start before it has been answered.
func TestNotIdempotentRequestRunsAlone(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	c := dial(t, addr)
	c.send(get("/hold/a") + post("/hold/b", "") + get("/hold/c"))
	eventually(t, "the first runs", waitLimit, func() bool { return h.hasStarted("a") })
	time.Sleep(20 * time.Millisecond)
	if h.hasStarted("b") {
		t.Error("a request that is not idempotent started beside another")
	}
	h.release("a")
	c.expect("a")
	eventually(t, "the second runs", waitLimit, func() bool { return h.hasStarted("b") })
	time.Sleep(20 * time.Millisecond)
	if h.hasStarted("c") {
		t.Error("a request started behind one that is not idempotent")
	}
	h.release("b")
	c.expect("b")
	h.release("c")
	c.expect("c")
}

// TestReadingAheadIsBounded: of requests without end only maxPipelined may run, and the
// caller must be held back.
func TestReadingAheadIsBounded(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	c := dial(t, addr)
	_ = c.conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	sent := 0
	for ; ; sent++ {
		if _, err := io.WriteString(c.conn, get(fmt.Sprint("/hold/", sent))); err != nil {
			break
		}
	}
	if got := h.startedCount(); got != maxPipelined {
		t.Errorf("%d of %d requests run, want %d", got, sent, maxPipelined)
	}
}

// TestCallerGone: whatever a caller has sent ahead, its end must cancel all its requests in
// time.
func TestCallerGone(t *testing.T) {
	for name, ahead := range map[string]string{
		"nothing":          "",
		"one request":      get("/hold/b"),
		"part of a header": "GET /hold/b HT",
		"not idempotent":   post("/hold/b", "text") + get("/hold/c"),
		"many requests":    strings.Repeat(get("/hold/b"), 1000),
		"part of a body":   "POST /hold/b HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nx",
		"a malformed one":  "GET /hold/b\r\n\r\n",
		"a closing one":    "GET /hold/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get("/hold/c"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newTestHandler()
			_, addr := startServer(t, h)
			c := dial(t, addr)
			c.send(get("/hold/a"))
			eventually(t, "the first runs", waitLimit, func() bool { return h.hasStarted("a") })
			time.Sleep(50 * time.Millisecond) // what follows comes in a segment of its own
			c.send(ahead)
			time.Sleep(50 * time.Millisecond)
			_ = c.conn.Close()
			eventually(t, "the first is cancelled", goneLimit, func() bool { return h.isCancelled("a") })
			for _, id := range []string{"b", "c"} {
				if h.hasStarted(id) && !h.isCancelled(id) {
					t.Errorf("%s is not cancelled", id)
				}
			}
		})
	}
}

// TestCallerGoneDuringLoneRequest: the end of the caller must cancel a request that runs
// alone, with the next one read.
func TestCallerGoneDuringLoneRequest(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	c := dial(t, addr)
	c.send(post("/hold/a", "text") + get("/hold/b"))
	eventually(t, "it runs", waitLimit, func() bool { return h.hasStarted("a") })
	_ = c.conn.Close()
	eventually(t, "it is cancelled", goneLimit, func() bool { return h.isCancelled("a") })
	time.Sleep(20 * time.Millisecond)
	if h.hasStarted("b") {
		t.Error("a request of a caller that is gone was started")
	}
}

// TestClosingResponseEndsConnection: requests behind a response that closes the connection
// must not be answered, and are cancelled.
func TestClosingResponseEndsConnection(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	c := dial(t, addr)
	c.send(get("/hold/a") + get("/close/b") + get("/hold/c") + post("/now/d", "text"))
	eventually(t, "three run", waitLimit, func() bool { return h.startedCount() == 3 })
	h.release("b")
	h.release("a")
	c.expect("a")
	if _, body, closes, err := c.receive(); body != "b" || !closes || err != nil {
		t.Errorf("response %q, closes %v, %v", body, closes, err)
	}
	c.expectEnd()
	eventually(t, "the one behind is cancelled", goneLimit, func() bool { return h.isCancelled("c") })
	if h.hasStarted("d") {
		t.Error("a request behind a closing response was passed on")
	}
}

// TestClosingResponseArrivesWhole: a caller that has sent much behind a closing response and
// reads late must get that response whole: the connection must not be reset with unread bytes.
func TestClosingResponseArrivesWhole(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	for i := range 20 {
		c := dial(t, addr)
		id := fmt.Sprint("a", i)
		behind := fmt.Sprint("b", i)
		c.send(get("/close/"+id) + get("/hold/"+behind))
		eventually(t, "both run", waitLimit, func() bool { return h.hasStarted(id) && h.hasStarted(behind) })
		c.send(strings.Repeat(get("/now/c"), 1000))
		h.release(id)
		time.Sleep(20 * time.Millisecond) // a reset would have arrived
		if _, body, closes, err := c.receive(); body != id || !closes || err != nil {
			t.Fatalf("response %q, closes %v, %v", body, closes, err)
		}
		if rest, err := io.ReadAll(c.in); len(rest) > 0 || err != nil {
			t.Fatalf("%q and %v after the response, want the end", rest, err)
		}
	}
}

// TestAbortedResponse: an aborted response must end the connection after the responses
// before it, and never look complete.
func TestAbortedResponse(t *testing.T) {
	h := newTestHandler()
	_, addr := startServer(t, h)
	c := dial(t, addr)
	c.send(get("/hold/a") + get("/abort/b") + get("/now/c"))
	h.release("b")
	eventually(t, "all ran", waitLimit, func() bool { return h.startedCount() == 3 })
	time.Sleep(20 * time.Millisecond)
	h.release("a")
	c.expect("a")
	c.expectEnd()
}

// TestDrain: at a planned stop, requests that were passed on must be answered, the last of
// them with "Connection: close", and nothing behind them may be passed on. Idle connections
// end, and a request that arrives meanwhile is answered.
func TestDrain(t *testing.T) {
	h := newTestHandler()
	s, addr := startServer(t, h)
	c, idle, other := dial(t, addr), dial(t, addr), dial(t, addr)
	idle.send(get("/now/idle"))
	idle.expect("idle")
	other.send(get("/now/other"))
	other.expect("other")
	c.send(get("/hold/a") + get("/hold/b"))
	eventually(t, "both run", waitLimit, func() bool { return h.startedCount() == 4 })
	s.Drain()
	c.send(get("/hold/c"))
	other.send(get("/now/last"))
	if _, body, closes, err := other.receive(); body != "last" || !closes || err != nil {
		t.Errorf("response %q, closes %v, %v", body, closes, err)
	}
	other.expectEnd()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	idle.expectEnd()
	time.Sleep(20 * time.Millisecond)
	h.release("a")
	if _, body, closes, err := c.receive(); body != "a" || closes || err != nil {
		t.Errorf("response %q, closes %v, %v", body, closes, err)
	}
	h.release("b")
	if _, body, closes, err := c.receive(); body != "b" || !closes || err != nil {
		t.Errorf("response %q, closes %v, %v", body, closes, err)
	}
	c.expectEnd()
	if h.hasStarted("c") {
		t.Error("a request was passed on behind the last one")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestRequestBehindOpenResponseAtDrain: a request behind a response whose header was sent
// before the stop, and has not announced the end of the connection, must be answered.
func TestRequestBehindOpenResponseAtDrain(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4")
		if r.URL.Path == "/first" {
			w.WriteHeader(http.StatusOK)
			close(begun)
			<-release
		}
		_, _ = io.WriteString(w, "text")
	}))
	c := dial(t, addr)
	c.send(get("/first"))
	<-begun
	s.Drain()
	c.send(get("/second") + get("/third"))
	time.Sleep(20 * time.Millisecond) // the server reads it
	close(release)
	if _, body, closes, err := c.receive(); body != "text" || closes || err != nil {
		t.Fatalf("response %q, closes %v, %v", body, closes, err)
	}
	if _, body, closes, err := c.receive(); body != "text" || !closes || err != nil {
		t.Errorf("response %q, closes %v, %v", body, closes, err)
	}
	c.expectEnd()
}

// TestShutdownEndsPartialHeaders: a caller that has sent a part of a header must not hold
// Shutdown for the header timeout. What it sent before must be answered.
func TestShutdownEndsPartialHeaders(t *testing.T) {
	h := newTestHandler()
	s, addr := startServer(t, h)
	alone, behind := dial(t, addr), dial(t, addr)
	alone.send("GET /now/x HT")
	behind.send(get("/hold/a") + "GET /now/x HTTP/1.1\r\nHost")
	eventually(t, "the first runs", waitLimit, func() bool { return h.hasStarted("a") })
	time.Sleep(20 * time.Millisecond) // the part of the header is read
	ended := make(chan error, 1)
	start := time.Now()
	go func() { ended <- s.Shutdown(context.Background()) }()
	alone.expectEnd()
	_ = alone.conn.Close()
	h.release("a")
	behind.expect("a")
	behind.expectEnd()
	_ = behind.conn.Close()
	if err := <-ended; err != nil || time.Since(start) > s.Limits().HeaderTimeout/2 {
		t.Errorf("Shutdown took %v, %v", time.Since(start), err)
	}
}

// TestShutdownIsBounded: a request that does not end must not hold Shutdown longer than its
// context, and Close must cancel it.
func TestShutdownIsBounded(t *testing.T) {
	h := newTestHandler()
	s, addr := startServer(t, h)
	c := dial(t, addr)
	c.send(get("/hold/a"))
	eventually(t, "it runs", waitLimit, func() bool { return h.hasStarted("a") })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Shutdown returned %v", err)
	}
	_ = s.Close()
	eventually(t, "it is cancelled", waitLimit, func() bool { return h.isCancelled("a") })
}

// badRequests are requests that must be refused, with the status. Each is followed by a
// request that must not be served.
var badRequests = map[string]struct {
	text   string
	status int
}{
	"two lengths":              {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ntext", 400},
	"two different lengths":    {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\ncontent-length: 5\r\n\r\ntext", 400},
	"length and chunked":       {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"chunked twice":            {"POST /now/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"unknown encoding":         {"POST /now/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
	"chunked in HTTP/1.0":      {"POST /now/x HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"bad length":               {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\ntext", 400},
	"bare CR in a value":       {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n", 400},
	"bare LF":                  {"GET /now/x HTTP/1.1\nHost: x\n\n", 400},
	"bare LF at the end":       {"GET /now/x HTTP/1.1\r\nHost: x\r\n\n", 400},
	"space before the colon":   {"GET /now/x HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\n", 400},
	"folded line":              {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 400},
	"no colon":                 {"GET /now/x HTTP/1.1\r\nHost: x\r\nnothing\r\n\r\n", 400},
	"control character":        {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: \x01\r\n\r\n", 400},
	"no host":                  {"GET /now/x HTTP/1.1\r\n\r\n", 400},
	"two hosts":                {"GET /now/x HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
	"no request line":          {"\r\nHost: x\r\n\r\n", 400},
	"unknown version":          {"GET /now/x HTTP/2.0\r\nHost: x\r\n\r\n", 505},
	"header without end":       {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 17<<10), 431},
	"header field without end": {"GET /now/x HTTP/1.1\r\n" + strings.Repeat("A: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 800), 431},
}

// TestBadRequestEndsConnection: a request that is malformed or ambiguous must be answered
// after those before it and end the connection, and nothing behind it may be served.
func TestBadRequestEndsConnection(t *testing.T) {
	for name, tc := range badRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newTestHandler()
			_, addr := startServer(t, h)
			c := dial(t, addr)
			c.send(get("/hold/a") + get("/now/b") + tc.text + get("/now/smuggled"))
			eventually(t, "both run", waitLimit, func() bool { return h.startedCount() == 2 })
			h.release("a")
			c.expect("a")
			c.expect("b")
			if status, _, closes, err := c.receive(); status != tc.status || !closes || err != nil {
				t.Errorf("response %d, closes %v, %v; want %d", status, closes, err, tc.status)
			}
			c.expectEnd()
			if h.startedCount() != 2 {
				t.Errorf("started: %v", h.started)
			}
		})
	}
}

// TestBodies: bodies in all forms must reach the handler whole, with a request behind them.
func TestBodies(t *testing.T) {
	long := strings.Repeat("0123456789", 30_000)
	for name, text := range map[string]string{
		"length":       post("/now/a", "text"),
		"chunked":      "POST /now/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nte\r\n2;e=1\r\nxt\r\n0\r\nT: v\r\n\r\n",
		"continue":     "POST /now/a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\ntext",
		"long header":  "POST /now/a HTTP/1.1\r\nHost: x\r\nA: " + long[:12_000] + "\r\nContent-Length: 4\r\n\r\ntext",
		"split header": "POST /now/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\ntext",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startServer(t, newTestHandler())
			c := dial(t, addr)
			if name == "split header" {
				for i := range len(text) {
					c.send(text[i : i+1])
				}
			} else {
				c.send(text)
			}
			c.send(post("/now/b", long))
			if name == "continue" {
				if status, _, _, err := c.receive(); status != http.StatusContinue || err != nil {
					t.Fatalf("interim response %d, %v", status, err)
				}
			}
			c.expect("atext")
			c.expect("b" + long)
		})
	}
}

// TestUnreadBody: a response that comes before the body was read must arrive whole. A short
// rest of the body is discarded and the connection kept; after a long one it ends.
func TestUnreadBody(t *testing.T) {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, addr := startServer(t, refuse)
	for _, size := range []int{10, maxDiscardedBody, maxDiscardedBody + 1} {
		c := dial(t, addr)
		go func() { _, _ = io.WriteString(c.conn, post("/now/a", strings.Repeat("x", size))) }()
		status, _, closes, err := c.receive()
		if status != http.StatusServiceUnavailable || err != nil || closes != (size > maxDiscardedBody) {
			t.Errorf("%d bytes: status %d, closes %v, %v", size, status, closes, err)
		}
		if closes {
			continue
		}
		c.send(get("/now/b"))
		if status, _, _, err = c.receive(); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("%d bytes: the next response: status %d, %v", size, status, err)
		}
	}
}

// TestLongHeaderIsNotKept: the buffer for a long header must not stay with an idle connection,
// nor the request, and requests behind it must be served.
func TestLongHeaderIsNotKept(t *testing.T) {
	h := newTestHandler()
	s, addr := startServer(t, h)
	c := dial(t, addr)
	long := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 3*initialHeadBuffer) + "\r\n\r\n"
	}
	c.send(long("/now/a") + get("/now/b") + long("/now/c") + post("/now/d", "text"))
	for _, want := range []string{"a", "b", "c", "dtext"} {
		c.expect(want)
	}
	served := s.openConns()[0]
	eventually(t, "the connection is idle without a request", waitLimit, func() bool {
		served.mu.Lock()
		defer served.mu.Unlock()
		return served.state == readIdle && served.inFlight == 0 && served.last == nil
	})
	_ = c.conn.Close()
	s.running.Wait()
	if size := served.head.buffer.Size(); size != initialHeadBuffer {
		t.Errorf("the idle connection had a buffer of %d bytes, want %d", size, initialHeadBuffer)
	}
}

// TestIdleConnectionEnds: an idle connection must end after the idle time, one with a
// request in flight must not.
func TestIdleConnectionEnds(t *testing.T) {
	h := newTestHandler()
	s, addr := startServerWithIdle(t, h, 100*time.Millisecond)
	c, idle := dial(t, addr), dial(t, addr)
	c.send(get("/hold/a"))
	start := time.Now()
	idle.expectEnd()
	if took := time.Since(start); took < s.Limits().IdleTimeout || took > waitLimit/2 {
		t.Errorf("the idle connection ended after %v", took)
	}
	time.Sleep(2 * s.Limits().IdleTimeout)
	h.release("a")
	c.expect("a")
	c.expectEnd()
}
