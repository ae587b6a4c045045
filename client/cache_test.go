package client_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"quetzalknot/client"
	"quetzalknot/version/lookup"
)

// TestStaleAnswerAfterFailedLookup lets a cached answer expire and fails the next look-up. The
// stale answer may be used only when the failure says nothing about the look-up itself.
func TestStaleAnswerAfterFailedLookup(t *testing.T) {
	for _, tc := range []struct {
		status int
		stale  bool
	}{
		{http.StatusBadRequest, false}, {http.StatusNotFound, false},
		{http.StatusTooManyRequests, true}, {http.StatusInternalServerError, true}, {http.StatusServiceUnavailable, true},
	} {
		const ttl = time.Second
		status, now := http.StatusOK, time.Unix(1000, 0)
		network := &fakeNetwork{received: make(map[string][]string), hosts: map[string]http.HandlerFunc{
			"api": func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_ = json.NewEncoder(w).Encode(lookup.Answer{TTLMS: ttl.Milliseconds(), Entries: []lookup.Host{{Name: "e1"}}})
			},
		}}
		c, err := client.New(client.Options{API: []string{"127.0.0.1:1"}, Transport: network, Now: func() time.Time { return now }})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Lookup(t.Context(), "s"); err != nil {
			t.Fatal(err)
		}
		status, now = tc.status, now.Add(2*ttl)
		answer, err := c.Lookup(t.Context(), "s")
		if (err == nil) != tc.stale || tc.stale && len(answer.Entries) != 1 {
			t.Errorf("status %d: %+v, %v; want a stale answer: %v", tc.status, answer, err, tc.stale)
		}
		var lookupErr *client.LookupError
		if !tc.stale && (!errors.As(err, &lookupErr) || lookupErr.Status != tc.status) {
			t.Errorf("status %d: the error is %v", tc.status, err)
		}
	}
}
