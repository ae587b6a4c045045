package partner

import (
	"testing"
	"time"

	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
)

// TestMessagesAreCountedByClass: bytes must be counted by message and by class of the other
// host; an address that a host no longer has belongs to none.
func TestMessagesAreCountedByClass(t *testing.T) {
	g := New(Options{Self: Member{Name: "h0", Region: "r", Domain: "d"}, Metrics: metrics.NewSet(), Now: time.Now})
	g.AddMembers([]Member{
		{Name: "h1", Region: "r", Domain: "d", Peer: "1"},
		{Name: "h2", Region: "r", Domain: "e", Peer: "2"},
		{Name: "h3", Region: "s", Domain: "f", Peer: "3"},
		{Name: "h3", Incarnation: 1, Region: "s", Domain: "f", Peer: "4"},
	})
	for _, addr := range []string{"1", "2", "3", "4", "9"} {
		g.CountMessage(addr, "Partner.Pull", peer.MessageSize{Sent: 10})
		g.CountMessage(addr, "Partner.Pull", peer.MessageSize{Received: 300})
	}
	for class, hosts := range map[string]int64{classDomain: 1, classRegion: 1, classFar: 1, classUnknown: 2} {
		sent := g.opts.Metrics.Counter("partners.sent_bytes." + class + ".pull").Value()
		received := g.opts.Metrics.Counter("partners.received_bytes." + class + ".pull").Value()
		if sent != 10*hosts || received != 300*hosts {
			t.Errorf("%s: %d bytes sent, %d received", class, sent, received)
		}
	}
}
