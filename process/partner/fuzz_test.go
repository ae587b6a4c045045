package partner

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalknot/process/crash"
	"quetzalknot/process/mirror"
)

// FuzzMessages decodes arbitrary bytes as each message of another host and handles it: the
// group must keep working, keep itself and the number of hosts that are alive, and must not
// take the state as newer than now.
func FuzzMessages(f *testing.F) {
	records := []mirror.Record{{Key: "a", Value: []byte("1"), Revision: 7}}
	for _, message := range []any{
		Heartbeat{
			From: Member{Name: "front-1", Incarnation: 2, Region: "nordur", Peer: "b", Capacity: 5}, Positions: map[string]uint64{table: 7}, Eras: map[string]uint64{table: 1},
			Crashes: []crash.Count{{Fingerprint: 1, Target: "i-1/1", Crashes: 2}}, Rate: 3, Fresh: true, Age: time.Second,
		},
		Heartbeat{From: Member{Name: "front-1"}, Leaving: true, Troubled: true, Fresh: true, Age: -time.Hour},
		PullRequest{Table: table, After: 3, Era: 1},
		Snapshot{Tables: []mirror.Delta{{Table: table, Whole: true, UpTo: 7, Records: records}}, Members: []Member{{Name: "front-2", Peer: "c"}}},
	} {
		data, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		network := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		g := network.add("front-0", "nordur", 1)
		g.opts.Client = cutClient{}
		var heartbeat, reply Heartbeat
		if cbor.NewDecoder(bytes.NewReader(data)).Decode(&heartbeat) == nil {
			_ = (&service{g}).Beat(&heartbeat, &reply)
		}
		if age, ok := g.ConfirmedAge(time.Now()); ok && age < 0 {
			t.Errorf("the state is %v newer than now", -age)
		}
		var pull PullRequest
		if cbor.Unmarshal(data, &pull) == nil {
			_ = (&service{g}).Pull(&pull, new(PullReply))
		}
		if s, err := unpack[Snapshot](data); err == nil {
			g.AddMembers(s.Members)
		}
		var large LargeRequest
		if cbor.Unmarshal(data, &large) == nil {
			_ = (&service{g}).Large(&large, new(LargeReply))
		}
		if records, err := unpack[[]packedRecord](data); err == nil {
			_, _ = unpackRecords(records, nil)
		}
		var s Snapshot
		if cbor.Unmarshal(data, &s) == nil {
			g.AddMembers(s.Members)
			for _, delta := range s.Tables {
				g.opts.Mirror.Apply(delta)
			}
		}
		if alive := g.Alive(); len(alive) == 0 || len(alive) > 2 {
			t.Errorf("%d hosts are alive", len(alive))
		}
		if len(g.ServingHosts("nordur")) == 0 {
			t.Error("no host serves")
		}
		_, _ = g.packedSnapshot()
	})
}

// cutClient is the client of a host that reaches no other.
type cutClient struct{}

// Call implements peer.RPCClient.
func (cutClient) Call(context.Context, string, string, any, any) error { return errCut }
