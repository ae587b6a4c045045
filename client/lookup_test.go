package client_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"quetzalknot/client"
	"quetzalknot/version/spread"
)

// apiNetwork is a fakeNetwork whose API hosts respond with a status each; one with status
// 200 answers as the API host of the fakeNetwork does, one without a status is down.
type apiNetwork struct {
	*fakeNetwork
	statuses map[string]int
	asked    []string
}

func (n *apiNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.asked = append(n.asked, r.URL.Host)
	switch status := n.statuses[r.URL.Host]; status {
	case 0:
		return nil, errors.New("connection refused")
	case http.StatusOK:
		return n.fakeNetwork.RoundTrip(r)
	default:
		return record(respondWith(response{status: status}), r)
	}
}

// TestLookupAsksOtherHostsAfterNotFound checks that a host without the newest version does
// not end a look-up that another host can answer, in either order of the hosts, and that a
// service that no host knows is reported so.
func TestLookupAsksOtherHostsAfterNotFound(t *testing.T) {
	for _, tc := range []struct {
		name   string
		second int
		want   int
	}{
		{"the other host knows the service", http.StatusOK, 0},
		{"no host knows the service", http.StatusNotFound, http.StatusNotFound},
		{"the other host is not up to date", http.StatusServiceUnavailable, http.StatusNotFound},
		{"the other host is down", 0, http.StatusNotFound},
	} {
		for _, api := range [][]string{{"127.0.0.1:8", "127.0.0.1:9"}, {"127.0.0.1:9", "127.0.0.1:8"}} {
			n := &apiNetwork{fakeNetwork: newNetwork(nil, nil), statuses: map[string]int{"127.0.0.1:8": http.StatusNotFound, "127.0.0.1:9": tc.second}}
			c, err := client.New(client.Options{API: api, Transport: n})
			if err != nil {
				t.Fatal(err)
			}
			_, err = c.Lookup(t.Context(), "bokun")
			var failure *client.LookupError
			if errors.As(err, &failure) != (tc.want != 0) || failure != nil && failure.Status != tc.want {
				t.Errorf("%s, API hosts %v: got %v, want status %d", tc.name, api, err, tc.want)
			}
			if tc.want != 0 && len(n.asked) != len(api) {
				t.Errorf("%s: asked %v, want each API host once", tc.name, n.asked)
			}
		}
	}
}

// TestLaggingHostDoesNotEndCachedAnswer: a service was just added; a host that lags does not know it
// and the one that does is down. The cached answer must be used for as long as the first may lag,
// and no longer, and not at all if no host failed to answer.
func TestLaggingHostDoesNotEndCachedAnswer(t *testing.T) {
	const step = 500 * time.Millisecond
	for _, other := range []int{0, http.StatusServiceUnavailable, http.StatusNotFound} {
		start := time.Now()
		now := start
		n := &apiNetwork{fakeNetwork: newNetwork(nil, nil), statuses: map[string]int{"127.0.0.1:8": http.StatusNotFound, "127.0.0.1:9": http.StatusOK}}
		c, err := client.New(client.Options{API: []string{"127.0.0.1:8", "127.0.0.1:9"}, Transport: n, Now: func() time.Time { return now }})
		if err != nil {
			t.Fatal(err)
		}
		answer, err := c.Lookup(t.Context(), "bokun")
		if err != nil {
			t.Fatal(err)
		}
		n.statuses["127.0.0.1:9"] = other
		ttl := time.Duration(answer.TTLMS) * time.Millisecond
		for now = start.Add(ttl); now.Sub(start) < spread.MaxStateAge+2*time.Second; now = now.Add(step) {
			age := now.Sub(start)
			_, err := c.Lookup(t.Context(), "bokun")
			var failure *client.LookupError
			if err != nil && (!errors.As(err, &failure) || failure.Status != http.StatusNotFound) {
				t.Errorf("other host %d, %v after the answer: %v, want status 404", other, age, err)
			}
			if err != nil && other != http.StatusNotFound && age < spread.MaxStateAge {
				t.Errorf("other host %d, %v after the answer: %v, want the cached answer", other, age, err)
			}
			if err == nil && (other == http.StatusNotFound || age >= spread.MaxStateAge+time.Second) {
				t.Errorf("other host %d, %v after the answer: the cached answer, want status 404", other, age)
			}
		}
	}
}
