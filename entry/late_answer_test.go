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

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// newBehind returns a host whose calls to the store pass through a proxy that holds each answer back
// for the time that delay returns.
func (c *cluster) newBehind(name string, delay func(*http.Response) time.Duration) *Host {
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
	return New(settings, "", c.logs)
}

// startBehind starts such a host in place of the hosts of the cluster, which are closed.
func (c *cluster) startBehind(name string, delay func(*http.Response) time.Duration) *Host {
	c.t.Helper()
	h := c.newBehind(name, delay)
	for _, other := range c.hosts {
		other.close()
	}
	if err := h.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(h.close)
	c.eventually("the host is ready", h.ready)
	return h
}

// TestLateAnswerDoesNotConfirmTooLong: an answer that was long on the way confirms the state as of
// when it was made.
func TestLateAnswerDoesNotConfirmTooLong(t *testing.T) {
	const onTheWay = 1200 * time.Millisecond
	c := newCluster(t, 1, 1)
	h := c.startBehind("front-far", func(*http.Response) time.Duration { return onTheWay })
	time.Sleep(6 * time.Second)
	worst := time.Duration(0)
	for version := 10; version < 20; version++ {
		c.store.PutState(standin.DesiredState(version, coldPerSecond))
		acknowledged := time.Now()
		for h.stateVersion() < uint64(version) && time.Since(acknowledged) < 8*time.Second {
			asked := time.Now()
			if confirmed := h.stateConfirmed(); confirmed && h.stateVersion() < uint64(version) {
				worst = max(worst, asked.Sub(acknowledged)) // the claim was about the older state
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Duration(version) * 331 * time.Millisecond % time.Second)
	}
	if worst > changeBound {
		t.Errorf("a host took its state as confirmed %v after a newer one was acknowledged; at most %v are allowed", worst, changeBound)
	}
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

// TestReadConfirmsFromItsStart: what a full read says is as old as the call may have taken.
func TestReadConfirmsFromItsStart(t *testing.T) {
	c := newCluster(t, 1, 1)
	const onTheWay = 600 * time.Millisecond
	h := c.newBehind("front-far", func(*http.Response) time.Duration { return onTheWay })
	started := time.Now()
	if err := h.readTable(t.Context(), adapter.OperatorTable); err != nil {
		t.Fatal(err)
	}
	if answered := h.storeStatus.tables[adapter.OperatorTable].confirmedAt; answered.Sub(started) > onTheWay/2 {
		t.Errorf("an answer of a read counts from %v after its start, though it was %v on the way", answered.Sub(started), onTheWay)
	}
}

// TestAnswerWithRecordsConfirmsFromItsCall: how long an answer with records was on the way is not known, so
// it says nothing about the time after its call was sent.
func TestAnswerWithRecordsConfirmsFromItsCall(t *testing.T) {
	const onTheWay = 900 * time.Millisecond
	c := newCluster(t, 1, 1)
	var far atomic.Bool
	h := c.newBehind("front-far", func(*http.Response) time.Duration {
		if far.Load() {
			return onTheWay
		}
		return 0
	})
	requireRead(t, h, adapter.OperatorTable)
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	far.Store(true)
	started := time.Now()
	if _, err := h.readChanges(t.Context(), adapter.OperatorTable, feedAnswer{}); err != nil {
		t.Fatal(err)
	}
	if at := h.storeStatus.tables[adapter.OperatorTable].confirmedAt; at.Sub(started) > onTheWay/2 {
		t.Errorf("an answer with records counts from %v after its call, though it was %v on the way", at.Sub(started), onTheWay)
	}
}
