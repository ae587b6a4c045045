package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

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
