package client_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/client"
	"quetzalknot/httpwire/wiretest"
	"quetzalknot/version/lookup"
)

// TestBrokenResponsesOfHostsAreNone guards against responses of entry hosts that no strict reader takes as such, and that the
// client hands on as whole ones, of requests on connections of their own and of pipelined ones.
func TestBrokenResponsesOfHostsAreNone(t *testing.T) {
	for name, response := range wiretest.Broken("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine") {
		for _, pipeline := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s/pipeline %d", name, pipeline), func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int32
				c := newClientOf(t, pipeline, wiretest.Serve(t, func(*http.Request) string {
					requests.Add(1)
					return response
				}))
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					requests.Store(0)
					body, err := exchange(t, c, method)
					if err == nil {
						t.Errorf("%s: the broken response counts as whole: %q", method, body)
					}
					if n := requests.Load(); method == http.MethodPost && n != 1 {
						t.Errorf("%d requests, although the first may have run", n)
					}
				}
			})
		}
	}
}

// TestBrokenLookupsAreNone guards against look-up responses that no strict reader takes as such.
func TestBrokenLookupsAreNone(t *testing.T) {
	answer, err := json.Marshal(lookup.Answer{TTLMS: 60_000, Entries: []lookup.Host{{Name: "h1", Addr: "127.0.0.1:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, response := range wiretest.Broken(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := client.New(client.Options{API: []string{wiretest.Serve(t, wiretest.Always(response))}, Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if a, err := c.Lookup(t.Context(), "bokun"); err == nil {
				t.Errorf("a broken response counts as the answer %+v", a)
			}
		})
	}
}

// TestHeadResponsesAreRead: a response to HEAD has a length and no body, and the next request gets its own response.
func TestHeadResponsesAreRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "fine")
	}))
	t.Cleanup(server.Close)
	for _, pipeline := range []int{0, 2} {
		c := newClientOf(t, pipeline, server.Listener.Addr().String())
		for _, method := range []string{http.MethodHead, http.MethodGet, http.MethodHead, http.MethodGet} {
			want := map[string]string{http.MethodHead: "", http.MethodGet: "fine"}[method]
			if body, err := exchange(t, c, method); err != nil || body != want {
				t.Errorf("pipeline %d, %s: %q, %v", pipeline, method, body, err)
			}
		}
	}
}

// newClientOf returns a client whose look-ups name one entry host.
func newClientOf(t *testing.T, pipeline int, entry string) *client.Client {
	t.Helper()
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(lookup.Answer{TTLMS: 60_000, Entries: []lookup.Host{{Name: "h1", Addr: entry}}})
	}))
	t.Cleanup(api.Close)
	c, err := client.New(client.Options{API: []string{api.Listener.Addr().String()}, Timeout: 5 * time.Second, Attempts: 2, Pipeline: pipeline, Unkeyed: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// exchange sends a request and returns the body of its response.
func exchange(t *testing.T, c *client.Client, method string) (string, error) {
	t.Helper()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("skip 7")
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "/slots", body)
	if err != nil {
		t.Fatal(err)
	}
	resp, _, err := c.Do(t.Context(), "bokun", r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}
