package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quetzalknot/process/membership"
)

// Regression: after a lost call a host started no exchange with the partner until the indirect
// probes had ended too, for up to 4.5 s.
func TestLostExchangeDoesNotBlockPartnerDuringProbe(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 3)
		defer c.stopAll()
		c.waitConverged(t)
		time.Sleep(10 * time.Second)
		c.net.setBroken(func(from, to string) bool { return true })
		c.net.startLog()
		first := c.waitExchange(t, "h0", "h1", time.Now(), 10*time.Second)
		const longestTurn = 2 * (idleInterval * 5 / 4) // two partners, the longest interval
		c.waitExchange(t, "h0", "h1", first, longestTurn+100*time.Millisecond)
	})
}

// waitExchange waits for an exchange that starts after a moment and returns its start.
func (c *cluster) waitExchange(t *testing.T, from, to string, after time.Time, within time.Duration) time.Time {
	t.Helper()
	var at time.Time
	eventually(t, within, fmt.Sprintf("%s starts an exchange with %s", from, to), func() bool {
		for _, r := range c.net.calledMethods("Exchange") {
			if r.from == from && r.to == to && r.at.After(after) {
				at = r.at
				return true
			}
		}
		return false
	})
	return at
}

// Regression: right after the hosts had found each other, a ticket was pushed to partners that
// had been chosen among fewer members, and some hosts were the partner of none.
func TestTicketIsPushedToPartnersAmongAllMembersKnown(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 30)
		defer c.stopAll()
		c.waitConverged(t)
		c.net.startLog()
		for i, h := range c.hosts {
			h.submit(testTicket(uint64(i + 1)))
		}
		time.Sleep(time.Millisecond)
		pushes := c.net.calledMethods("Push")
		for _, h := range c.hosts {
			for _, p := range membership.Partners(h.members.Self(), h.members.Reachable()) {
				if !slices.ContainsFunc(pushes, func(r callRecord) bool { return r.from == h.name && r.to == p.Host }) {
					t.Errorf("%s did not push its ticket to its partner %s", h.name, p.Host)
				}
			}
		}
	})
}

// Regression: a host that kept finding its tickets to differ, because the deltas were lost, went
// back to the idle interval 3 s after the last change.
func TestExchangesStayFrequentWhileTicketsDiffer(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 7)
		defer c.stopAll()
		c.waitConverged(t)
		time.Sleep(10 * time.Second)
		c.net.mu.Lock()
		c.net.lost = map[string]bool{serviceName + ".Push": true, serviceName + ".Sync": true}
		c.net.mu.Unlock()
		c.hosts[0].submit(testTicket(1))
		time.Sleep(10 * time.Second)
		c.net.startLog()
		const span = 10 * time.Second
		time.Sleep(span)
		started := 0
		for _, r := range c.net.calledMethods("Exchange") {
			if r.from == "h1" {
				started++
			}
		}
		if least := int(span / (2 * activeInterval)); started < least {
			t.Errorf("%d exchanges in %v, want at least %d", started, span, least)
		}
	})
}

// Regression: a ticket whose pushes were all lost reached a host only by exchanges, each of which
// needs two calls in a row that are not lost.
func TestLostPushIsRepeated(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 3)
		defer c.stopAll()
		c.waitConverged(t)
		c.net.mu.Lock()
		c.net.lost = map[string]bool{serviceName + ".Sync": true}
		c.net.mu.Unlock()
		c.net.setBroken(func(string, string) bool { return true })
		c.hosts[0].submit(testTicket(1))
		time.Sleep(time.Second)
		c.net.setBroken(func(string, string) bool { return false })
		eventually(t, 4*time.Second, "all hosts have the ticket", func() bool { return c.allHaveTicket(1) })
	})
}
