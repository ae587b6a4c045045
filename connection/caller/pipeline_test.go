package caller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelHandler answers each request with its path after a time that the path names, and
// checks that a request that is not idempotent runs alone.
type modelHandler struct {
	mu      sync.Mutex
	running map[string]bool
	// shared is set when a request ran beside one that is not idempotent.
	shared bool
}

// ServeHTTP implements http.Handler.
func (h *modelHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var index, delay int
	_, _ = fmt.Sscanf(r.URL.Path, "/%d/%d", &index, &delay)
	h.enter(r)
	time.Sleep(time.Duration(delay) * time.Millisecond)
	h.mu.Lock()
	delete(h.running, r.URL.Path)
	h.mu.Unlock()
	_, _ = fmt.Fprint(w, r.URL.Path)
}

func (h *modelHandler) enter(r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	alone := r.Method != http.MethodGet
	for path := range h.running {
		if alone || strings.HasSuffix(path, "alone") {
			h.shared = true
		}
	}
	h.running[r.URL.Path] = true
}

// TestRandomPipelines sends random sequences of requests, cut into random segments: the
// responses must come whole and in order, and no request that is not idempotent may run
// beside another.
func TestRandomPipelines(t *testing.T) {
	h := &modelHandler{running: make(map[string]bool)}
	_, addr := startServer(t, h)
	rapid.Check(t, func(rt *rapid.T) {
		c := dial(t, addr)
		defer func() { _ = c.conn.Close() }()
		var text strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 20).Draw(rt, "requests") {
			path := fmt.Sprintf("/%d/%d", i, rapid.IntRange(0, 3).Draw(rt, "delay"))
			if rapid.Bool().Draw(rt, "idempotent") {
				text.WriteString(get(path))
			} else {
				path += "/alone"
				text.WriteString(post(path, rapid.StringN(0, 50, 5000).Draw(rt, "body")))
			}
			want = append(want, path)
		}
		go func() {
			rest := text.String()
			for len(rest) > 0 {
				n := min(len(rest), 700)
				if _, err := c.conn.Write([]byte(rest[:n])); err != nil {
					return // the responses show it
				}
				rest = rest[n:]
			}
		}()
		var got []string
		for range want {
			_, body, _, err := c.receive()
			if err != nil {
				rt.Fatalf("after %d of %d responses: %v", len(got), len(want), err)
			}
			got = append(got, body)
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("responses %v, want %v", got, want)
		}
	})
	if h.shared {
		t.Error("a request ran beside one that is not idempotent")
	}
}

// FuzzReadHead: whatever a caller sends, each request is either rejected or has one reading:
// one length of the body, one host, and no line end that another reader could see. The next
// request starts where it ends. The corpus in testdata holds a case for each way.
func FuzzReadHead(f *testing.F) {
	for _, bad := range badRequests {
		f.Add([]byte(bad.text))
	}
	f.Add([]byte(get("/now/a")))
	f.Add([]byte(post("/now/a", "text")))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHeadReader(bytes.NewReader(data), 16<<10)
		for rest := data; ; {
			r, err := h.read()
			if err != nil {
				return
			}
			head := rest[:headEnd(rest, 0)]
			checkReading(t, r, head)
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil || r.ContentLength < 0 {
				return
			}
			if n != r.ContentLength {
				t.Fatalf("a body of %d bytes was read as %d: %q", r.ContentLength, n, head)
			}
			rest = rest[len(head)+int(n):] // the next request must start here
		}
	})
}

// checkReading checks that an accepted header has one reading and was parsed as r.
func checkReading(t *testing.T, r *http.Request, head []byte) {
	t.Helper()
	lines := strings.Split(string(head), "\r\n")
	if strings.ContainsAny(strings.Join(lines, ""), "\r\n\x00") {
		t.Errorf("a header with a bare line end was accepted: %q", head)
	}
	if lines[0] != r.Method+" "+r.RequestURI+" "+r.Proto {
		t.Errorf("%q was read as %s %s %s", lines[0], r.Method, r.RequestURI, r.Proto)
	}
	lengths := 0
	for _, line := range lines[1:] {
		name, _, _ := strings.Cut(strings.ToLower(line), ":")
		if name == "content-length" || name == "transfer-encoding" {
			lengths++
		}
	}
	if lengths > 1 || (lengths == 0 && r.Body != http.NoBody) {
		t.Errorf("%d lengths were accepted: %q", lengths, head)
	}
}

// BenchmarkKeepAlive compares this server with http.Server on plain keep-alive connections.
func BenchmarkKeepAlive(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = w.Write([]byte("ok"))
	})
	b.Run("caller.Server", func(b *testing.B) {
		_, addr := startServer(b, handler)
		requestLoop(b, addr)
	})
	b.Run("http.Server", func(b *testing.B) {
		requestLoop(b, startStandardServer(b, handler))
	})
}

func requestLoop(b *testing.B, addr string) {
	b.ReportAllocs()
	c := dial(b, addr)
	_ = c.conn.SetDeadline(time.Time{})
	request := []byte(get("/now/a"))
	buffer := make([]byte, 4096)
	for b.Loop() {
		if _, err := c.conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := c.conn.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}

func startStandardServer(b *testing.B, h http.Handler) string {
	b.Helper()
	l := listen(b)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}
