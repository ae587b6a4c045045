package caller

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

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
	start := time.Now()
	c, idle := dial(t, addr), dial(t, addr)
	c.send(get("/hold/a"))
	idle.expectEnd()
	if took := time.Since(start); took < s.Limits().IdleTimeout || took > waitLimit/2 {
		t.Errorf("the idle connection ended after %v", took)
	}
	time.Sleep(2 * s.Limits().IdleTimeout)
	h.release("a")
	c.expect("a")
	c.expectEnd()
}
