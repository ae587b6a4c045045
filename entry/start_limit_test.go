package entry

import (
	"io"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/partner"
)

// newStoppedHost returns a host of the cluster that has not started.
func (c *cluster) newStoppedHost(name string) *Host {
	c.t.Helper()
	endpoint := c.store.NewEndpoint()
	c.t.Cleanup(endpoint.Close)
	settings, err := Parse([]byte(settingsText(c.t, name, endpoint.Addr(), false)))
	if err != nil {
		c.t.Fatal(err)
	}
	return New(settings, "", io.Discard)
}

// TestNotReadyWhileSendRateLimitedAtStart: a host that starts must not count as ready after its first
// tables are applied while the limit that a periodic task has set without any table is in force.
func TestNotReadyWhileSendRateLimitedAtStart(t *testing.T) {
	for _, last := range adapter.Tables() {
		t.Run(last+" read last", func(t *testing.T) {
			c := newCluster(t, 2, 0)
			h := c.newStoppedHost("front-0")
			for _, table := range adapter.Tables() {
				if table != last {
					requireRead(t, h, table)
				}
			}
			requireReadyOnceLifted(t, h, func() { requireRead(t, h, last) }, h.storeStatus.ok)
		})
	}
}

// TestNotReadyWhileSendRateLimitedWithTableOfPartner is the same for a table of a partner.
func TestNotReadyWhileSendRateLimitedWithTableOfPartner(t *testing.T) {
	for _, last := range adapter.Tables() {
		t.Run(last+" pulled last", func(t *testing.T) {
			c := newCluster(t, 2, 1)
			reader := c.hosts[0]
			c.eventually("the partner reads the store", func() bool { return reader.ownStoreStatus().Reachable })
			h := c.newStoppedHost("front-1")
			t.Cleanup(h.clients.Close)
			for _, table := range adapter.Tables() {
				if table != last {
					requireRead(t, h, table)
				}
			}
			pulled := func() bool { return h.config.Load() != nil && h.fleet.Size() == 2 }
			requireReadyOnceLifted(t, h, func() { h.contact(t.Context(), []partner.Member{reader.self}) }, pulled)
		})
	}
}

// requireRead reads a table from the store.
func requireRead(t *testing.T, h *Host, table string) {
	t.Helper()
	if err := h.readTable(t.Context(), table); err != nil {
		t.Error(err)
	}
}

// requireReadyOnceLifted runs the last step of a start. It holds the lifting of the limit of the requests
// back once taken returns true, and requires that the host is not ready until it is lifted.
func requireReadyOnceLifted(t *testing.T, h *Host, step func(), taken func() bool) {
	t.Helper()
	h.limitSendRate() // as the periodic task does before the tables are there
	h.sendRateMu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		step()
	}()
	for deadline := time.Now().Add(waitTimeout); !taken(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.sendRateMu.Unlock()
			t.Fatal("the tables were not taken over")
		}
	}
	if h.ready() && h.fleet.SendRateLimited() {
		t.Error("ready although the requests to each target are limited")
	}
	h.sendRateMu.Unlock()
	<-done
	for deadline := time.Now().Add(waitTimeout); !h.ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not ready although the tables were taken over")
		}
	}
	if h.fleet.SendRateLimited() {
		t.Error("the requests are limited after the tables were taken over")
	}
}
