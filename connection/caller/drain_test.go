package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

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
