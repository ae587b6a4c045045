package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an id for one client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s%012d", prefix, lastID.Add(1)) }

// caller is a client with kept connections to one host.
type caller struct {
	lab    *lab
	host   *host
	client *http.Client
}

func (l *lab) newCaller(h *host) *caller {
	dial := &net.Dialer{Timeout: time.Second}
	return &caller{lab: l, host: h, client: &http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}}}
}

// answer is what a client has seen of a request: status 0 means that there was no complete answer.
type answer struct {
	id     string
	status int
	body   string
	stamp  string
	err    error
}

// send sends one request and waits for its answer until its time limit.
func (c *caller) send(method, path, id, cookie, body string, limit time.Duration) answer {
	return c.sendAndLeave(method, path, id, cookie, body, limit, limit)
}

// sendAndLeave sends one request with a time limit and leaves if it is not answered within patience.
func (c *caller) sendAndLeave(method, path, id, cookie, body string, limit, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.entry+path, reader)
	fail(err)
	r.Host = "ficu95.example"
	r.Header.Set("Request-Identifier", id)
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	if cookie != "" {
		r.Header.Set("Cookie", "Affinity-Key="+cookie)
	}
	r.Header.Set("User-Agent", "")
	resp, err := c.client.Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{id: id, err: err}
	}
	return answer{id: id, status: resp.StatusCode, body: string(data), stamp: resp.Header.Get("Response-Stamp")}
}
