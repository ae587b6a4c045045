package serve_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/version/routes"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// line is the part of the log line of a response that the tests look at.
type line struct {
	Request string `json:"request"`
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Error   string `json:"error"`
	Crashes string `json:"crashes"`
	// StateAge is the age of the host's state in milliseconds.
	StateAge int64 `json:"state_age_ms"`
	// Newest is a newer version of the configuration that the host has heard of.
	Newest uint64 `json:"newest_version"`
}

// first waits for the first line with a status and returns it.
func (l *lines) first(t *testing.T) line { return l.of(t, "") }

// of waits for the line with the status of a request; an empty id stands for any.
func (l *lines) of(t *testing.T, id string) line {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		text := l.text.String()
		l.mu.Unlock()
		for entry := range strings.Lines(text) {
			var got line
			if json.Unmarshal([]byte(entry), &got) == nil && strings.Contains(entry, `"status"`) && (id == "" || got.Request == id) {
				return got
			}
		}
	}
	t.Fatal("no log line")
	return line{}
}

// TestIncompleteBody: a body that ends early because the caller has gone is no fault of the
// request; one that cannot be read is refused with status 400.
func TestIncompleteBody(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		status     int
		err        string
	}{
		{"caller gone in a body with a length", head("POST", "/book/1", "Content-Length: 10") + "part", 0, "disconnected"},
		{"caller gone in a chunk", head("POST", "/book/1", "Transfer-Encoding: chunked") + "10\r\npart", 0, "disconnected"},
		{"caller gone between chunks", head("POST", "/book/1", "Transfer-Encoding: chunked") + "4\r\npart\r\n", 0, "disconnected"},
		{"bad chunk", head("POST", "/book/1", "Transfer-Encoding: chunked") + "4\r\npart\r\nx\r\n", http.StatusBadRequest, "request body"},
		{"chunk without end", head("POST", "/book/1", "Transfer-Encoding: chunked") + "4\r\nparts\r\n", http.StatusBadRequest, "request body"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.apply(nil)
			log := &lines{}
			f.handler.Log = zerolog.New(log)
			if tc.status != 0 {
				if got := f.exchange(tc.text); got.status != tc.status || !got.closes {
					t.Errorf("%+v", got)
				}
			} else {
				f.sendAndLeave(tc.text, nil)
			}
			if got := log.first(t); got.Status != tc.status || !strings.Contains(got.Error, tc.err) {
				t.Errorf("logged as %+v", got)
			}
		})
	}
}

// sendAndLeave sends a request, or a part of it, and closes the connection once the target has started; without such a
// channel, when the handler has had time to run.
func (f *fixture) sendAndLeave(text string, started <-chan struct{}) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text)
	defer func() { _ = conn.Close() }()
	if started == nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	select {
	case <-started:
	case <-time.After(waitTimeout):
		f.t.Error("the target has not started")
	}
}

// TestBodyLimit: a body up to the operator's limit is served, a longer one is refused with
// status 413. A version without limits has none.
func TestBodyLimit(t *testing.T) {
	for _, tc := range []struct {
		limit, size int64
		want        int
	}{
		{100, 100, http.StatusOK}, {100, 101, http.StatusRequestEntityTooLarge}, {0, 1000, http.StatusOK},
		{3 << 20, 2 << 20, http.StatusOK}, {1 << 20, 2 << 20, http.StatusRequestEntityTooLarge},
	} {
		f := newFixture(t)
		f.apply(func(c *routes.Config) { c.Limits.BodyBytes = tc.limit })
		f.addHandler("i-1", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		text := head("POST", "/book/1", "Content-Length: "+itoa(tc.size)) + strings.Repeat("x", int(tc.size))
		if got := f.exchange(text); got.status != tc.want {
			t.Errorf("%d bytes with a limit of %d: %d, %v, want %d", tc.size, tc.limit, got.status, got.err, tc.want)
		}
	}
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// TestBodyLimitShrinks: a request that is being read keeps the limits of the version with which
// it began.
func TestBodyLimitShrinks(t *testing.T) {
	f := newFixture(t)
	f.apply(func(c *routes.Config) { c.Limits.BodyBytes = 1000 })
	f.addHandler("i-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	body := strings.Repeat("x", 1000)
	_, _ = io.WriteString(conn, head("POST", "/book/1", "Content-Length: 1000")+body[:500])
	for f.handler.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.apply(func(c *routes.Config) { c.Limits.BodyBytes = 10 })
	_, _ = io.WriteString(conn, body[500:])
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(got) != body || err != nil {
		t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(got), err)
	}
}

// TestSlowBody: a body that has not come in full at the route's time-out must be refused in
// time as not run, and never be forwarded.
func TestSlowBody(t *testing.T) {
	for name, text := range map[string]string{
		"length":  head("POST", "/book/1", "Content-Length: 100") + "part",
		"chunks":  head("POST", "/book/1", "Transfer-Encoding: chunked") + "4\r\npart\r\n",
		"nothing": head("POST", "/book/1", "Content-Length: 100"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			const timeout = 100 * time.Millisecond
			f.apply(func(c *routes.Config) {
				for _, r := range c.Routes {
					r.Timeout = timeout
				}
			})
			f.addHandler("i-1", func(http.ResponseWriter, *http.Request) { t.Error("it was forwarded") })
			start := time.Now()
			got := f.exchange(text)
			if got.status != http.StatusRequestTimeout || !got.closes {
				t.Errorf("%+v", got)
			}
			if took := time.Since(start); took < timeout || took > 5*timeout {
				t.Errorf("the response came after %v", took)
			}
		})
	}
}
