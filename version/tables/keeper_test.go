package tables_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/process/metrics"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
	"quetzalknot/version/tables"
)

// store is an object store that can be down.
type store struct {
	platform.Objects
	down bool
}

func (s *store) GetRange(ctx context.Context, key string, offset, length int64) ([]byte, error) {
	if s.down {
		return nil, platform.ErrUnavailable
	}
	return s.Objects.GetRange(ctx, key, offset, length)
}

// network calls other keepers directly; every failEvery-th call fails.
type network struct {
	services  map[string]*tables.Service
	failEvery int
	calls     int
}

func (n *network) Call(_ context.Context, addr, _ string, args, reply any) error {
	n.calls++
	if s := n.services[addr]; s != nil && (n.failEvery == 0 || n.calls%n.failEvery != 0) {
		return s.Read(args.(*tables.ReadArgs), reply.(*tables.ReadReply))
	}
	return errors.New("unreachable")
}

type bench struct {
	store   *store
	network *network
}

func newBench() *bench {
	return &bench{store: &store{Objects: &memory.Objects{}}, network: &network{services: map[string]*tables.Service{}}}
}

func (b *bench) keeper() *tables.Keeper {
	return tables.New(tables.Options{
		Objects: b.store, Caller: b.network, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
		Peers: func() []string { return []string{"gone", "p1"} },
	})
}

func (b *bench) put(t *testing.T, key string, data []byte) string {
	t.Helper()
	if err := b.store.Put(t.Context(), key, data); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%x", sha256.Sum256(data))
}

// stored puts a table of n blocks and a delta into the store.
func (b *bench) stored(t *testing.T, n int) config.BlockTable {
	t.Helper()
	changes := make([]lookup.Change, n)
	for i := range changes {
		addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		changes[i] = lookup.Change{Prefix: netip.PrefixFrom(addr, 32), Assignment: lookup.Assignment{Regions: []string{"base"}}}
	}
	table, err := new(lookup.Table).Apply(changes)
	if err != nil {
		t.Fatal(err)
	}
	data, err := lookup.Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	first := changes[0]
	first.Assignment.Regions = []string{"delta"}
	delta, err := lookup.EncodeDelta(sha256.Sum256(data), []lookup.Change{first})
	if err != nil {
		t.Fatal(err)
	}
	return config.BlockTable{Name: "clients", Object: "t", SHA256: b.put(t, "t", data),
		Deltas: []config.BlockDelta{{Object: "d", SHA256: b.put(t, "d", delta)}}}
}

func want(t *testing.T, k *tables.Keeper, w tables.Wanted) error {
	t.Helper()
	k.Want(w)
	return k.Step(t.Context())
}

func region(k *tables.Keeper, addr string) string {
	return k.Table().Region(netip.MustParseAddr(addr))
}

// TestSnapshotDeltaAndTicketBlocks lays them over one another and takes them away.
func TestSnapshotDeltaAndTicketBlocks(t *testing.T) {
	b := newBench()
	k, named := b.keeper(), b.stored(t, 9000)
	ticket := []config.Block{{Prefix: "10.0.0.0/31", Region: "wide"}, {Prefix: "10.0.0.1/32", Region: "ticket"}}
	for _, step := range []struct {
		name   string
		wanted tables.Wanted
		want   string
	}{
		{"nothing", tables.Wanted{}, ",,"},
		{"all", tables.Wanted{Tables: []config.BlockTable{named}, Blocks: ticket}, "delta,ticket,base"},
		{"ticket blocks removed", tables.Wanted{Tables: []config.BlockTable{named}}, "delta,base,base"},
		{"delta removed", tables.Wanted{Tables: []config.BlockTable{{Object: "t", SHA256: named.SHA256}}, Blocks: ticket}, "base,ticket,base"},
		{"table removed", tables.Wanted{Blocks: ticket}, "wide,ticket,"},
	} {
		if err := want(t, k, step.wanted); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		got := strings.Join([]string{region(k, "10.0.0.0"), region(k, "10.0.0.1"), region(k, "10.0.0.2")}, ",")
		if got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got, step.want)
		}
	}
}

// TestBadTablesLeaveTheOneInForce tries every kind of fault on a table in force.
func TestBadTablesLeaveTheOneInForce(t *testing.T) {
	b := newBench()
	k, named := b.keeper(), b.stored(t, 9000)
	if err := want(t, k, tables.Wanted{Tables: []config.BlockTable{named}}); err != nil {
		t.Fatal(err)
	}
	inForce := k.Table()
	whole, _ := b.store.Get(t.Context(), "t")
	delta, _ := b.store.Get(t.Context(), "d")
	cut := b.put(t, "cut", whole[:len(whole)/2])
	changed := append([]byte(nil), whole...)
	changed[len(changed)/2] ^= 1
	flipped := b.put(t, "flipped", changed)
	twice := named
	twice.Deltas = append(named.Deltas, named.Deltas[0])
	for name, w := range map[string]tables.Wanted{
		"it ends after":             {Tables: []config.BlockTable{{Object: "cut", SHA256: cut}}},
		"the checksum of chunk":     {Tables: []config.BlockTable{{Object: "flipped", SHA256: flipped}}},
		"SHA-256 does not match":    {Tables: []config.BlockTable{{Object: "t", SHA256: cut}}},
		"not found":                 {Tables: []config.BlockTable{{Object: "none", SHA256: cut}}},
		"64 hexadecimal digits":     {Tables: []config.BlockTable{{Object: "t", SHA256: "abc"}}},
		"it is a delta":             {Tables: []config.BlockTable{{Object: "d", SHA256: fmt.Sprintf("%x", sha256.Sum256(delta))}}},
		"but":                       {Tables: []config.BlockTable{twice}},
		"remove one":                {Tables: []config.BlockTable{named, named}},
		"write it as 192.0.2.0/24":  {Tables: []config.BlockTable{named}, Blocks: []config.Block{{Prefix: "192.0.2.1/24"}}},
		"192.0.2.0/24: given twice": {Blocks: []config.Block{{Prefix: "192.0.2.0/24"}, {Prefix: "192.0.2.0/24"}}},
	} {
		err := want(t, k, w)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("got %v, want %q", err, name)
		}
		if k.Table() != inForce {
			t.Fatalf("%s: the table in force changed", name)
		}
	}
	if err := want(t, k, tables.Wanted{Tables: []config.BlockTable{named}}); err != nil {
		t.Errorf("after the faults: %v", err)
	}
}

// TestStartDuringOutageReadsFromAnotherHost loads through a flaky network while
// the store is down, and must not read again what it has.
func TestStartDuringOutageReadsFromAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		old, named := b.keeper(), b.stored(t, 200_000)
		w := tables.Wanted{Tables: []config.BlockTable{named}}
		if err := want(t, old, w); err != nil {
			t.Fatal(err)
		}
		b.network.services["p1"] = old.Service()
		b.store.down, b.network.failEvery = true, 5
		fresh := b.keeper()
		err := want(t, fresh, w)
		for tries := 0; err != nil && tries < 100; tries++ {
			err = fresh.Step(t.Context())
		}
		if err != nil {
			t.Fatal(err)
		}
		if got := region(fresh, "10.0.0.0") + region(fresh, "10.3.0.5"); got != "deltabase" || fresh.Table().Len() != old.Table().Len() {
			t.Errorf("got %d blocks and %s", fresh.Table().Len(), got)
		}
		data, _ := b.store.Get(t.Context(), "t")
		if most := 3 * (len(data)/(48<<10) + 8); b.network.calls > most {
			t.Errorf("%d calls for %d bytes, want at most %d: it started again", b.network.calls, len(data), most)
		}
	})
}
