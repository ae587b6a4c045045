package spread

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"quetzalknot/version/state"
)

// laterExchange is the message of a later release, with a field that this one does not know.
type laterExchange struct {
	From        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Sums        []Sum             `cbor:"3,keyasint"`
	Later       map[string]string `cbor:"40,keyasint"`
}

func TestFieldsOfALaterReleaseAreIgnored(t *testing.T) {
	data, err := cbor.Marshal(laterExchange{From: "h1", Incarnation: 7, Later: map[string]string{"a": "b"}})
	if err != nil {
		t.Fatal(err)
	}
	var args ExchangeArgs
	if err := cbor.Unmarshal(data, &args); err != nil || args.From != "h1" || args.Incarnation != 7 {
		t.Fatalf("got %+v, %v", args, err)
	}
}

// Hosts of a release with a further topic level the common ones with hosts
// without it, and the further one among themselves through such hosts' partners.
func TestTwoReleasesTalk(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		later := make(map[int]*Tickets)
		f.prepare = func(i int, h *host) {
			if i%2 == 0 {
				later[i] = NewTickets(state.New(), func() {})
				h.engine.Register("later", later[i])
			}
		}
		f.startAll(t.Context(), 8)
		defer f.stopAll()
		f.settle(t)
		f.hosts[0].submit(f.accept(t, 1))
		f.hosts[0].engine.Publish("later", later[0].Add(ticketOf(9)))
		eventually(t, 10*time.Second, "both releases have the ticket, the later one its topic", func() bool {
			for _, topic := range later {
				if topic.Sum() != later[0].Sum() {
					return false
				}
			}
			return f.allHave(1)
		})
	})
}

// Freshness is never taken to be younger than it is, whatever the delays.
func TestFreshnessIsNeverOverstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, sink freshness
		read := time.Now().Add(-time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age_ms")) * time.Millisecond)
		source.mark(read, 1)
		began := time.Now().Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "call_ms")) * time.Millisecond)
		ms, _ := source.message()
		sink.mark(began.Add(-time.Duration(ms)*time.Millisecond), 1)
		if sink.at.After(read) {
			t.Fatalf("fresh at %v, read at %v", sink.at, read)
		}
	})
}
