package spread

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quetzalknot/process/membership"
)

// callRecord is one call on the fake network.
type callRecord struct {
	at                     time.Time
	from, to, method       string
	requestLost, replyLost bool
}

// String returns the call with what was lost of it.
func (r callRecord) String() string {
	lost := ""
	if r.requestLost {
		lost = " request lost"
	} else if r.replyLost {
		lost = " reply lost"
	}
	return fmt.Sprintf("%s>%s %s%s", r.from, r.to, strings.TrimPrefix(r.method, serviceName+"."), lost)
}

// startLog records all calls from now on.
func (n *network) startLog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record = true
}

// calledMethods returns the recorded calls of a method.
func (n *network) calledMethods(method string) []callRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	var calls []callRecord
	for _, r := range n.log {
		if r.method == serviceName+"."+method {
			calls = append(calls, r)
		}
	}
	return calls
}

// traceTicket records all calls from now on. If the test fails, the returned function logs
// the partners and the calls of each host that lacks the ticket.
func (c *cluster) traceTicket(t *testing.T, number uint64) (report func()) {
	began := time.Now()
	before := c.partnersInUse()
	c.net.startLog()
	return func() {
		if !t.Failed() {
			return
		}
		for _, h := range c.hosts {
			if h.state.Newest() < number {
				c.logMissing(t, h, before, began, number)
			}
		}
	}
}

// partnersInUse returns the names of the partners of each host without recomputing them.
func (c *cluster) partnersInUse() map[string][]string {
	partners := make(map[string][]string)
	for _, h := range c.hosts {
		h.engine.mu.Lock()
		partners[h.name] = hostNames(h.engine.partners)
		h.engine.mu.Unlock()
	}
	return partners
}

func (c *cluster) logMissing(t *testing.T, missing *host, before map[string][]string, began time.Time, number uint64) {
	now := c.partnersInUse()
	t.Logf("%s lacks ticket %d; partners %v, now %v", missing.name, number, before[missing.name], now[missing.name])
	for _, h := range c.hosts {
		was, is := slices.Contains(before[h.name], missing.name), slices.Contains(now[h.name], missing.name)
		if was || is {
			t.Logf("partner of %s (at the start %v, now %v), which has ticket %d", h.name, was, is, h.state.Newest())
		}
	}
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for _, r := range c.net.log {
		if r.from == missing.name || r.to == missing.name {
			t.Logf("%6.3f s %v", r.at.Sub(began).Seconds(), r)
		}
	}
}

func hostNames(members []membership.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Host
	}
	return names
}
