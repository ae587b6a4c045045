package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalknot/client"
	"quetzalknot/verdict"
	"quetzalknot/version/lookup"
)

// fakeNetwork is an http.RoundTripper that simulates entry hosts, by address.
type fakeNetwork struct {
	mu    sync.Mutex
	hosts map[string]http.HandlerFunc
	// received are the idempotency keys and bodies that each address received.
	received map[string][]string
}

type response struct {
	status int
	header map[string]string
}

func (n *fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/v1/lookup" {
		return n.lookup(r)
	}
	var sent []byte
	if r.Body != nil {
		sent, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[r.URL.Host] = append(n.received[r.URL.Host], r.Header.Get(client.HeaderIdempotencyKey)+"|"+string(sent))
	h := n.hosts[r.URL.Host]
	if h == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	return record(h, r)
}

func (n *fakeNetwork) lookup(r *http.Request) (*http.Response, error) {
	if n.hosts["api"] == nil {
		return nil, errors.New("no API host")
	}
	return record(n.hosts["api"], r)
}

type recorder struct {
	header http.Header
	body   strings.Builder
	status int
	err    error
}

func (w *recorder) Header() http.Header         { return w.header }
func (w *recorder) Write(b []byte) (int, error) { return w.body.Write(b) }
func (w *recorder) WriteHeader(status int)      { w.status = status }

func record(h http.HandlerFunc, r *http.Request) (*http.Response, error) {
	w := &recorder{header: make(http.Header), status: http.StatusOK}
	h(w, r)
	if w.err != nil {
		return nil, w.err
	}
	return &http.Response{StatusCode: w.status, Header: w.header, Body: io.NopCloser(strings.NewReader(w.body.String())), Request: r}, nil
}

// respondWith returns a handler that sends the given responses one after another and then
// repeats the last one. A response with status 0 resets the connection.
func respondWith(rs ...response) http.HandlerFunc {
	i := 0
	return func(w http.ResponseWriter, _ *http.Request) {
		r := rs[min(i, len(rs)-1)]
		i++
		if r.status == 0 {
			w.(*recorder).err = errors.New("connection reset")
			return
		}
		for name, value := range r.header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(r.status)
	}
}

var (
	ran       = response{200, map[string]string{verdict.Header: "ran"}}
	shed      = response{503, map[string]string{verdict.Header: "not-run", "Retry-After": "1"}}
	uncertain = response{502, map[string]string{verdict.Header: "may-have-run"}}
	rejected  = response{400, map[string]string{verdict.Header: "not-run"}}
	reset     = response{}
)

// TestDo checks the verdict and the number of attempts at each of two entry hosts for
// combinations of responses and connection failures, with and without an idempotency key.
func TestDo(t *testing.T) {
	cases := []struct {
		name          string
		method        string
		first, second http.HandlerFunc
		unkeyed       bool
		verdict       verdict.Verdict
		calls         [2]int
		failed        bool
	}{
		{"first entry down", "POST", nil, respondWith(ran), true, verdict.Ran, [2]int{1, 1}, false},
		{"shed, then accepted by the second entry", "POST", respondWith(shed), respondWith(ran), true, verdict.Ran, [2]int{1, 1}, false},
		{"bad request is final", "POST", respondWith(rejected), respondWith(ran), true, verdict.NotRun, [2]int{1, 0}, false},
		{"unkeyed write may have run", "POST", respondWith(uncertain), respondWith(ran), true, verdict.MayHaveRun, [2]int{1, 0}, false},
		{"unkeyed write reset", "POST", respondWith(reset), respondWith(ran), true, verdict.MayHaveRun, [2]int{1, 0}, true},
		{"keyed write may have run", "POST", respondWith(uncertain), respondWith(ran), false, verdict.Ran, [2]int{1, 1}, false},
		{"read reset", "GET", respondWith(reset), respondWith(ran), true, verdict.Ran, [2]int{1, 1}, false},
		{"not-run after may-have-run is may-have-run", "POST", respondWith(uncertain), respondWith(shed), false, verdict.MayHaveRun, [2]int{2, 1}, false},
		{"all entries down", "POST", nil, nil, false, verdict.NotRun, [2]int{2, 1}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(tc.first, tc.second)
				c := newClient(t, n, tc.unkeyed)
				req, _ := http.NewRequest(tc.method, "/slots", strings.NewReader("skip 7"))
				resp, v, err := c.Do(t.Context(), "bokun", req)
				if resp != nil {
					_ = resp.Body.Close()
				}
				var failure *client.Error
				if v != tc.verdict || errors.As(err, &failure) != tc.failed {
					t.Fatalf("got %v, %v", v, err)
				}
				checkCalls(t, n, tc.calls, tc.unkeyed || tc.method == "GET")
			})
		})
	}
}

// checkCalls checks the number of requests at each address, and that every attempt carried
// the complete body and the same key.
func checkCalls(t *testing.T, n *fakeNetwork, want [2]int, unkeyed bool) {
	t.Helper()
	var all []string
	for i, addr := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		if got := len(n.received[addr]); got != want[i] {
			t.Errorf("%s got %d requests, want %d", addr, got, want[i])
		}
		all = append(all, n.received[addr]...)
	}
	for _, sent := range all {
		key, body, _ := strings.Cut(sent, "|")
		if sent != all[0] || body != "skip 7" || (key == "") != unkeyed || !unkeyed && !strings.HasPrefix(key, "h1.") {
			t.Errorf("attempts sent %q", all)
		}
	}
}

func newNetwork(first, second http.HandlerFunc) *fakeNetwork {
	n := &fakeNetwork{hosts: map[string]http.HandlerFunc{}, received: map[string][]string{}}
	for addr, h := range map[string]http.HandlerFunc{"127.0.0.1:1": first, "127.0.0.1:2": second} {
		if h != nil {
			n.hosts[addr] = h
		}
	}
	n.hosts["api"] = func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(lookup.Answer{Service: "bokun", TTLMS: 1000, KeyPrefix: "h1.", Entries: []lookup.Host{
			{Name: "h1", Addr: "127.0.0.1:1"}, {Name: "h2", Addr: "127.0.0.1:2"}}})
	}
	return n
}

func newClient(t *testing.T, n *fakeNetwork, unkeyed bool) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{API: []string{"127.0.0.1:9"}, Transport: n, Unkeyed: unkeyed})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCachedAnswerUsedAfterEntryAndLookupFailure checks that requests succeed from
// the cached answer when the first entry host and the look-ups fail after one look-up.
func TestCachedAnswerUsedAfterEntryAndLookupFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(respondWith(ran), respondWith(ran))
		c := newClient(t, n, true)
		get := func() error {
			req, _ := http.NewRequest("GET", "/slots", nil)
			resp, _, err := c.Do(context.Background(), "bokun", req)
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}
		if err := get(); err != nil {
			t.Fatal(err)
		}
		n.mu.Lock()
		delete(n.hosts, "api")
		delete(n.hosts, "127.0.0.1:1")
		n.mu.Unlock()
		for range 3 {
			if err := get(); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(n.received["127.0.0.1:1"]); got != 2 {
			t.Errorf("the failed entry host got %d requests, want 2: one before and one after its failure", got)
		}
	})
}

// hangingNetwork is a fakeNetwork whose first entry host never responds to a request.
type hangingNetwork struct{ *fakeNetwork }

func (h hangingNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/v1/lookup" || r.URL.Host == "127.0.0.1:2" {
		return h.fakeNetwork.RoundTrip(r)
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestFailoverFromHungEntry covers a first entry host that accepts the request and then
// disappears without closing the connection. Nothing listens at its address any more, which
// the client detects while it waits for the response. An idempotent request must be retried
// at the second entry host long before its deadline; a write without a key must not.
func TestFailoverFromHungEntry(t *testing.T) {
	for method, want := range map[string]verdict.Verdict{"GET": verdict.Ran, "POST": verdict.MayHaveRun} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(nil, respondWith(ran))
			c, err := client.New(client.Options{API: []string{"127.0.0.1:9"}, Transport: hangingNetwork{n}, Unkeyed: true, Timeout: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			req, _ := http.NewRequest(method, "/slots", nil)
			resp, v, err := c.Do(t.Context(), "bokun", req)
			if resp != nil {
				_ = resp.Body.Close()
			}
			var failure *client.Error
			if v != want || errors.As(err, &failure) == (want == verdict.Ran) {
				t.Errorf("got %v, %v, want %v", v, err, want)
			}
		})
	}
}
