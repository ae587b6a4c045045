package spread

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"quetzalknot/version/state"
)

// newerExchangeArgs is ExchangeArgs of a newer release, with a field unknown to this one.
type newerExchangeArgs struct {
	From        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Sums        []Sum             `cbor:"3,keyasint"`
	Later       map[string]string `cbor:"40,keyasint"`
}

func TestFieldsOfALaterReleaseAreIgnored(t *testing.T) {
	data, err := cbor.Marshal(newerExchangeArgs{From: "h1", Incarnation: 7, Later: map[string]string{"a": "b"}})
	if err != nil {
		t.Fatal(err)
	}
	var args ExchangeArgs
	if err := cbor.Unmarshal(data, &args); err != nil || args.From != "h1" || args.Incarnation != 7 {
		t.Fatalf("got %+v, %v", args, err)
	}
}

// Hosts of a newer release with an additional topic synchronise the common topics with
// hosts of the older release, and the additional topic among themselves.
func TestMixedReleasesSynchronise(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		added := make(map[int]*Tickets)
		c.prepare = func(i int, h *host) {
			if i%2 == 0 {
				added[i] = NewTickets(state.New(), func() {})
				h.engine.Register("later", added[i])
			}
		}
		c.startAll(t.Context(), 8)
		defer c.stopAll()
		c.waitConverged(t)
		c.hosts[0].submit(c.acceptDirectly(t, 1))
		c.hosts[0].engine.Publish("later", added[0].Add(testTicket(9)))
		eventually(t, 10*time.Second, "all hosts have the ticket, and those of the newer release the additional topic", func() bool {
			for _, topic := range added {
				if topic.Sum() != added[0].Sum() {
					return false
				}
			}
			return c.allHaveTicket(1)
		})
	})
}

// The watermark that is adopted from another host is never later than that host's own,
// whatever the delays.
func TestWatermarkIsNeverOverstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, adopter watermark
		read := time.Now().Add(-time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age_ms")) * time.Millisecond)
		source.advance(read, Position{Revision: 1})
		began := time.Now().Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "call_ms")) * time.Millisecond)
		ms := source.ageMS()
		adopter.advance(began.Add(-time.Duration(ms)*time.Millisecond), Position{Revision: 1})
		if adopter.at.After(read) {
			t.Fatalf("adopted watermark %v is later than the read at %v", adopter.at, read)
		}
	})
}
