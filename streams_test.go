package quetzalknot_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/ticket"
)

const (
	// waitTimeout is how long tests wait for an expected condition.
	waitTimeout = 30 * time.Second
	mebibyte    = 1 << 20
)

// startHost runs one host in front of one target and returns its forward address.
func startHost(t testing.TB, target http.Handler, limits settings.Limits) string {
	t.Helper()
	_, addr := startStoppable(t, target, limits, settings.Stop{})
	return addr
}

// startStoppable is startHost with the settings of a stop. It returns the host, too.
func startStoppable(t testing.TB, target http.Handler, limits settings.Limits, stop settings.Stop) (*quetzalknot.Host, string) {
	t.Helper()
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	s := &settings.Settings{
		Host:   settings.Host{Name: "h1", Region: "mtl", FailureDomain: "mtl-1"},
		Listen: settings.Listen{API: "127.0.0.1:0", Forward: "127.0.0.1:0", Peer: "127.0.0.1:0"},
		Limits: limits, Stop: stop,
	}
	if err := s.ApplyDefaultsAndCheck(); err != nil {
		t.Fatal(err)
	}
	host := quetzalknot.New(s, quetzalknot.Options{Platform: memory.New(), Logs: io.Discard})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	_, err := host.Submit(t.Context(), &ticket.Ticket{Number: 1, Operator: "lea", Services: []config.Service{{
		Name: "paie-vault", Shed: config.ShedResponse{Status: 503, Header: "Shed"}, MaxBodyBytes: 80 * mebibyte, TimeoutMS: 30_000,
		Classes: []config.Class{{Name: "file", PathPrefix: "/files", MaxBodyBytes: 1000}, {Name: "all", PathPrefix: "/"}},
		Targets: []config.Target{{Name: "paie-01", Addr: server.Listener.Addr().String(), Region: "mtl", FailureDomain: "mtl-1", Slots: 3}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(waitTimeout); host.Version() < 1; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the ticket did not come into force")
		}
	}
	return host, host.Addrs().Forward
}

func newRequest(method, addr, path string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		panic(err)
	}
	r.Host = "paie-vault"
	return r
}

// zeros is an endless stream of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestStreamMemory forwards 64 MiB in each direction and checks that the heap grows by at
// most 16 MiB, so that bodies are streamed and not buffered.
func TestStreamMemory(t *testing.T) {
	const size = 64 * mebibyte
	addr := startHost(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", fmt.Sprint(n))
		_, _ = io.Copy(w, io.LimitReader(zeros{}, n))
	}), settings.Limits{})
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				peak.Store(max(peak.Load(), now.HeapAlloc))
			}
		}
	}()
	r := newRequest("POST", addr, "/batch", io.LimitReader(zeros{}, size))
	r.ContentLength = size
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	close(stop)
	if n != size || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	growth := int64(peak.Load()) - int64(before.HeapAlloc)
	t.Logf("heap grew by %d KiB", growth>>10)
	if growth > 16*mebibyte {
		t.Errorf("heap grew by %d bytes for a stream of %d", growth, size)
	}
}

// TestSlowReader covers a caller that does not read an endless response. Backpressure must
// stop the target from writing, and the stall timeout must then end its request.
func TestSlowReader(t *testing.T) {
	var written atomic.Int64
	ended := make(chan struct{})
	addr := startHost(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		w.Header().Set("Content-Length", fmt.Sprint(int64(1)<<40))
		buf := make([]byte, 64<<10)
		for {
			n, err := w.Write(buf)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}), settings.Limits{StallMS: 500})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /archive HTTP/1.1\r\nHost: paie-vault\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("a caller that does not read blocks the target forever")
	}
	if n := written.Load(); n > 64*mebibyte {
		t.Errorf("the target wrote %d bytes to a caller that reads nothing", n)
	}
}

// TestBrokenUpload covers a caller that sends part of an upload and then stalls or closes
// the connection. The target must see the upload fail.
func TestBrokenUpload(t *testing.T) {
	for _, slow := range []bool{true, false} {
		bodyErr := make(chan error, 1)
		addr := startHost(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			bodyErr <- err
		}), settings.Limits{StallMS: 500})
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /batch HTTP/1.1\r\nHost: paie-vault\r\nContent-Length: 10000000\r\n\r\nhalf")
		if !slow {
			_ = c.Close()
		}
		select {
		case err := <-bodyErr:
			if err == nil {
				t.Errorf("slow=%v: the target received a truncated upload without an error", slow)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("slow=%v: the upload did not end at the target", slow)
		}
		if slow {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get(verdict.Header) != "may-have-run" {
				t.Errorf("slow sender: %v, %v", resp, err)
			}
		}
		_ = c.Close()
	}
}

// TestTruncatedResponse checks that the caller gets an error when the target aborts a response
// halfway, with and without a declared length.
func TestTruncatedResponse(t *testing.T) {
	for _, length := range []string{"1000000", ""} {
		addr := startHost(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write(make([]byte, 100_000))
			panic(http.ErrAbortHandler)
		}), settings.Limits{})
		resp, err := http.DefaultClient.Do(newRequest("GET", addr, "/archive", nil))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			t.Errorf("length %q: a truncated response ended without an error", length)
		}
	}
}

// TestLimits checks the status and the verdict of requests that exceed a limit or are invalid.
// A connection over the limit must get status 503 and the verdict not-run.
func TestLimits(t *testing.T) {
	addr := startHost(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}), settings.Limits{HeaderBytes: 4000, Connections: 4})
	chunked := func(r *http.Request) *http.Request {
		r.Body, r.ContentLength = io.NopCloser(io.LimitReader(zeros{}, 5000)), -1
		return r
	}
	longHeader := newRequest("GET", addr, "/", nil)
	longHeader.Header.Set("Note", strings.Repeat("n", 5000))
	cases := []struct {
		name   string
		r      *http.Request
		status int
		want   verdict.Verdict
	}{
		{"header", longHeader, 431, verdict.NotRun},
		{"body", newRequest("POST", addr, "/files/1", bytes.NewReader(make([]byte, 5000))), 413, verdict.NotRun},
		{"chunked body", chunked(newRequest("POST", addr, "/files/1", nil)), 413, verdict.MayHaveRun},
		{"body within the limit", newRequest("POST", addr, "/files/1", bytes.NewReader(make([]byte, 900))), 200, verdict.Ran},
		{"unknown service", func() *http.Request { r := newRequest("GET", addr, "/", nil); r.Host = "x"; return r }(), 404, verdict.NotRun},
		{"bad timeout", func() *http.Request {
			r := newRequest("GET", addr, "/", nil)
			r.Header.Set("Quetzal-Timeout-Ms", "soon")
			return r
		}(), 400, verdict.NotRun},
	}
	for _, tc := range cases {
		resp, err := http.DefaultClient.Do(tc.r)
		if err != nil {
			t.Errorf("%s: %v", tc.name, err)
			continue
		}
		_ = resp.Body.Close()
		if got := verdict.Parse(resp.Header.Get(verdict.Header)); resp.StatusCode != tc.status || got != tc.want {
			t.Errorf("%s: %d %v, want %d %v", tc.name, resp.StatusCode, got, tc.status, tc.want)
		}
	}
	checkConnectionLimit(t, addr, 4)
}

func checkConnectionLimit(t *testing.T, addr string, limit int) {
	t.Helper()
	http.DefaultClient.CloseIdleConnections()
	responses := ""
	for range limit + 1 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		response, _ := io.ReadAll(c)
		responses += string(response)
	}
	if !strings.Contains(responses, "503") || !strings.Contains(responses, "Quetzal-Verdict: not-run") {
		t.Errorf("connections over the limit got %q", responses)
	}
}
