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
