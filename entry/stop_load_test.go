package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// stopLoad is a load on a host that stops.
type stopLoad struct {
	c    *cluster
	addr string
	// stopping is true from the start of the stop; late counts the answers since.
	stopping atomic.Bool
	late     atomic.Int32
}

// TestStopUnderLoad: a host stops while callers send on new and kept connections, ahead of
// responses, and with bodies of which half is sent. Each request gets its whole answer,
// or none and then has not run.
func TestStopUnderLoad(t *testing.T) {
	c := newCluster(t, 3, 2)
	for _, target := range c.targets {
		target.SetBehaviour(standin.Good, 10*time.Millisecond)
	}
	l := &stopLoad{c: c, addr: c.hosts[0].addr()}
	var callers sync.WaitGroup
	for name, run := range map[string]func(id string) bool{"new": l.onNewConnection, "kept": l.onKeptConnection, "ahead": l.ahead, "half": l.inHalves} {
		for i := range 3 {
			callers.Go(func() {
				for n := 0; run(fmt.Sprint(name, i, "-", n)); n++ {
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	l.stopping.Store(true)
	c.stopTime(c.hosts[0])
	callers.Wait()
	if l.late.Load() == 0 {
		t.Error("no request was answered during the stop")
	}
}

func (l *stopLoad) call(method, path, id string) standin.Call {
	return standin.Call{ID: id, Method: method, Path: path, Timeout: waitTimeout}
}

// check checks what a caller got for a request; status 0 means nothing.
func (l *stopLoad) check(id string, got standin.Response) {
	runs := 0
	for _, target := range l.c.targets {
		runs += target.RunsOf(id)
	}
	answered := got.Status == http.StatusOK && got.ID == id && got.Body == standin.Body && runs == 1
	if !answered && (got.Status != 0 || runs > 0) {
		l.c.t.Errorf("%s ran %d times: %+v", id, runs, got)
	}
	if answered && l.stopping.Load() {
		l.late.Add(1)
	}
}

// onNewConnection sends one request. Like the functions below it returns false once the
// host takes no connections.
func (l *stopLoad) onNewConnection(id string) bool {
	caller, err := standin.Dial(l.addr, waitTimeout)
	if err != nil {
		return false
	}
	defer caller.Close()
	got, _ := caller.Send(l.call("POST", "/book/1", id), waitTimeout) // an error leaves status 0
	l.check(id, got)
	return true
}

// onKeptConnection sends requests on one connection until it closes.
func (l *stopLoad) onKeptConnection(id string) bool {
	caller, err := standin.Dial(l.addr, waitTimeout)
	if err != nil {
		return false
	}
	defer caller.Close()
	for i := 0; ; i++ {
		next := fmt.Sprint(id, "-", i)
		got, err := caller.Send(l.call("POST", "/book/1", next), waitTimeout)
		l.check(next, got)
		if err != nil || got.Closes {
			return true
		}
	}
}

// ahead sends requests without waiting for responses until the connection closes.
func (l *stopLoad) ahead(id string) bool {
	caller, err := standin.Dial(l.addr, waitTimeout)
	if err != nil {
		return false
	}
	defer caller.Close()
	const depth = 5
	for i := 0; ; i++ {
		var calls []standin.Call
		for k := range depth {
			calls = append(calls, l.call("GET", "/search/1", fmt.Sprint(id, "-", i, "-", k)))
		}
		got, err := caller.SendPipelined(calls, waitTimeout)
		got = append(got, make([]standin.Response, depth-len(got))...)
		for k, call := range calls {
			l.check(call.ID, got[k])
		}
		if err != nil || got[depth-1].Closes || got[depth-1].Status == 0 {
			return true
		}
	}
}

// inHalves sends a request with a pause in its body.
func (l *stopLoad) inHalves(id string) bool {
	conn, err := net.Dial("tcp", l.addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	half := strings.Repeat("x", 100_000)
	_, _ = io.WriteString(conn, rawRequest("POST", "/book/1", id, fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(half)))+half)
	time.Sleep(200 * time.Millisecond)
	_, _ = io.WriteString(conn, half) // the response shows whether it arrived
	var got standin.Response
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		body, _ := io.ReadAll(resp.Body)
		got = standin.Response{Status: resp.StatusCode, ID: standin.ResponseID(resp.Header), Body: string(body)}
	}
	l.check(id, got)
	return true
}
