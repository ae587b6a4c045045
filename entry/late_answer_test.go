package entry

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startBehind starts a host whose calls to the store pass through a proxy that holds each answer back
// for the time that delay returns. The other hosts of the cluster are closed.
func (c *cluster) startBehind(name string, delay func(*http.Response) time.Duration) *Host {
	c.t.Helper()
	store, err := url.Parse("http://" + c.endpoints[0].Addr())
	if err != nil {
		c.t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(store)
	proxy.ModifyResponse = func(r *http.Response) error {
		time.Sleep(delay(r))
		return nil
	}
	server := httptest.NewServer(proxy)
	c.t.Cleanup(server.Close)
	settings, err := Parse([]byte(settingsText(c.t, name, strings.TrimPrefix(server.URL, "http://"), false)))
	if err != nil {
		c.t.Fatal(err)
	}
	for _, h := range c.hosts {
		h.close()
	}
	h := New(settings, "", c.logs)
	if err := h.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(h.close)
	c.eventually("the host is ready", h.ready)
	return h
}

// TestUnevenStoreIsNotUnavailable: a store that answers every call, some at once and some late, is slow,
// not unavailable.
func TestUnevenStoreIsNotUnavailable(t *testing.T) {
	const late = 700 * time.Millisecond
	c := newCluster(t, 1, 1)
	var feeds atomic.Int64
	h := c.startBehind("front-uneven", func(r *http.Response) time.Duration {
		if strings.Contains(r.Request.URL.Path, "feed") && feeds.Add(1)%4 < 2 {
			return late
		}
		return 0
	})
	time.Sleep(2 * changeBound) // the calls that were sent before the delay was known are over
	c.eventually("the host is up to date", h.upToDate)
	losses, was := 0, true
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := h.upToDate()
		if was && !now {
			losses++
		}
		was = now
	}
	if losses > 0 {
		t.Errorf("a store that answers each call was lost %d times in 15 s", losses)
	}
}
