package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// longTimeout is the timeout of the routes of a slowCluster, beyond all waits of a test.
const longTimeout = 2 * waitTimeout

// newSlowCluster starts a host and a target with one slot, which is taken by a request until after the
// host's grace period.
func newSlowCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.store.PutState(strings.ReplaceAll(standin.DesiredState(2, coldPerSecond), `"1500ms"`, `"20000ms"`))
	c.eventually("the timeouts are in force", func() bool { return h.config.Load().Version == 2 })
	c.targets[0].SetSlots(1)
	c.targets[0].SetBehaviour(standin.Good, h.grace()+time.Second)
	go func() { _ = c.sendLong("GET", "/search/1", "first", "") }()
	c.eventually("the slot is taken", func() bool { return c.targets[0].RunsOf("first") == 1 })
	return c
}

// sendLong sends a request to the first host that waits for its response beyond the host's grace period.
func (c *cluster) sendLong(method, path, id, body string) standin.Response {
	caller, err := standin.Dial(c.hosts[0].addr(), waitTimeout)
	if err != nil {
		return standin.Response{}
	}
	defer caller.Close()
	got, _ := caller.Send(standin.Call{ID: id, Method: method, Path: path, Body: body, Timeout: longTimeout}, waitTimeout) // an error leaves status 0
	return got
}

// TestStopAnswersQueuedRequests: requests that wait in a target's queue when the grace period ends were cut
// without an answer (incident 0012). Each must get one that is true.
func TestStopAnswersQueuedRequests(t *testing.T) {
	c := newSlowCluster(t)
	var stopping atomic.Bool
	var mu sync.Mutex
	answers := make(map[string]standin.Response)
	var callers sync.WaitGroup
	send := func(method, path, id, body string) {
		callers.Go(func() {
			got := c.sendLong(method, path, id, body)
			for got.Status == http.StatusServiceUnavailable && !stopping.Load() { // a busy machine may refuse it at first
				got = c.sendLong(method, path, id, body)
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = got
		})
	}
	for i := range 2 {
		send("GET", "/search/1", fmt.Sprint("safe-", i), "")
		send("POST", "/book/1", fmt.Sprint("upload-", i), "a booking")
	}
	c.eventually("the requests are passed on", func() bool { return c.hosts[0].handler.InFlight() == 5 })
	half := c.sendRaw(c.hosts[0], rawRequest("POST", "/book/1", "half", "Content-Length: 100000\r\n\r\nx"))
	go func() {
		time.Sleep(acceptWhileLeaving / 2)
		send("POST", "/book/1", "late", "a booking")
	}()
	stopping.Store(true)
	if took := c.stopTime(c.hosts[0]); took > c.hosts[0].grace() {
		t.Errorf("the stop took %v", took)
	}
	callers.Wait()
	if len(answers) != 5 {
		t.Errorf("%d requests were sent, want 5", len(answers))
	}
	for id, got := range answers {
		runs := c.targets[0].RunsOf(id)
		if (got.Status != http.StatusBadGateway && got.Status != http.StatusServiceUnavailable) || runs > 0 {
			t.Errorf("%s: %+v, ran %d times", id, got, runs)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(half), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("half a body: %+v, %v", resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}

// TestStopAnswersPipelinedRequests: the same for requests of one connection that were sent ahead.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	c := newSlowCluster(t)
	caller, err := standin.Dial(c.hosts[0].addr(), waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	var calls []standin.Call
	for i := range 4 {
		calls = append(calls, standin.Call{ID: fmt.Sprint("ahead-", i), Method: "GET", Path: "/search/1", Timeout: longTimeout})
	}
	answers := make(chan []standin.Response, 1)
	go func() {
		got, _ := caller.SendPipelined(calls, waitTimeout) // an error leaves answers out
		answers <- got
	}()
	c.eventually("some of the requests are passed on", func() bool { return c.hosts[0].handler.InFlight() > 1 })
	c.stopTime(c.hosts[0])
	got := <-answers
	if len(got) != len(calls) {
		t.Fatalf("%d of %d requests were answered: %+v", len(got), len(calls), got)
	}
	for i, answer := range got {
		runs := c.targets[0].RunsOf(calls[i].ID)
		if (answer.Status != http.StatusBadGateway && answer.Status != http.StatusServiceUnavailable) || runs > 0 {
			t.Errorf("%s: %+v, ran %d times", calls[i].ID, answer, runs)
		}
	}
}
