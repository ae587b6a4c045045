package tables_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// store is an object store whose reads fail while down is set.
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

// network calls other loaders directly; every failEvery-th call fails.
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

type fixture struct {
	store   *store
	network *network
}

func newFixture() *fixture {
	return &fixture{store: &store{Objects: &memory.Objects{}}, network: &network{services: map[string]*tables.Service{}}}
}

func (b *fixture) newLoader() *tables.Loader {
	return tables.New(tables.Options{
		Objects: b.store, Client: b.network, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
		Peers: func() []string { return []string{"gone", "p1"} },
	})
}

func (b *fixture) put(t *testing.T, key string, data []byte) string {
	t.Helper()
	if err := b.store.Put(t.Context(), key, data); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%x", sha256.Sum256(data))
}

// stored puts a table of n blocks and a delta of it into the object store.
func (b *fixture) stored(t *testing.T, n int) config.BlockTable {
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

func setAndReconcile(t *testing.T, l *tables.Loader, w tables.DesiredState) error {
	t.Helper()
	l.SetDesired(w)
	return l.Reconcile(t.Context())
}

func region(l *tables.Loader, addr string) string {
	return l.Table().Region(netip.MustParseAddr(addr))
}

// TestSnapshotDeltaAndTicketBlocks adds and removes a snapshot, its delta and blocks of
// tickets. Blocks of tickets take precedence over the delta, and the delta over the
// snapshot.
func TestSnapshotDeltaAndTicketBlocks(t *testing.T) {
	b := newFixture()
	l, named := b.newLoader(), b.stored(t, 9000)
	ticket := []config.Block{{Prefix: "10.0.0.0/31", Region: "wide"}, {Prefix: "10.0.0.1/32", Region: "ticket"}}
	for _, step := range []struct {
		name    string
		desired tables.DesiredState
		want    string
	}{
		{"nothing", tables.DesiredState{}, ",,"},
		{"all", tables.DesiredState{Tables: []config.BlockTable{named}, Blocks: ticket}, "delta,ticket,base"},
		{"ticket blocks removed", tables.DesiredState{Tables: []config.BlockTable{named}}, "delta,base,base"},
		{"delta removed", tables.DesiredState{Tables: []config.BlockTable{{Object: "t", SHA256: named.SHA256}}, Blocks: ticket}, "base,ticket,base"},
		{"table removed", tables.DesiredState{Blocks: ticket}, "wide,ticket,"},
	} {
		if err := setAndReconcile(t, l, step.desired); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		got := strings.Join([]string{region(l, "10.0.0.0"), region(l, "10.0.0.1"), region(l, "10.0.0.2")}, ",")
		if got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got, step.want)
		}
	}
}

// TestUnnamedTableIsNotServed: once tickets name no table any more, neither the snapshot nor
// its delta may be served to other hosts, or stay in memory for that.
func TestUnnamedTableIsNotServed(t *testing.T) {
	b := newFixture()
	l, named := b.newLoader(), b.stored(t, 100)
	service := l.Service()
	read := func(sum string) error {
		args := &tables.ReadArgs{Length: 10}
		if _, err := hex.Decode(args.Sum[:], []byte(sum)); err != nil {
			t.Fatal(err)
		}
		return service.Read(args, new(tables.ReadReply))
	}
	if err := setAndReconcile(t, l, tables.DesiredState{Tables: []config.BlockTable{named}}); err != nil {
		t.Fatal(err)
	}
	for _, sum := range []string{named.SHA256, named.Deltas[0].SHA256} {
		if err := read(sum); err != nil {
			t.Errorf("a named table is not served: %v", err)
		}
	}
	if err := setAndReconcile(t, l, tables.DesiredState{}); err != nil {
		t.Fatal(err)
	}
	for _, sum := range []string{named.SHA256, named.Deltas[0].SHA256} {
		if err := read(sum); !errors.Is(err, tables.ErrNotFound) {
			t.Errorf("after the table is not named any more: %v", err)
		}
	}
}

// TestInvalidTablesAreNotPutInForce sets desired states with invalid tables, deltas and
// blocks. Each must be rejected and leave the table in force unchanged.
func TestInvalidTablesAreNotPutInForce(t *testing.T) {
	b := newFixture()
	l, named := b.newLoader(), b.stored(t, 9000)
	if err := setAndReconcile(t, l, tables.DesiredState{Tables: []config.BlockTable{named}}); err != nil {
		t.Fatal(err)
	}
	inForce := l.Table()
	snapshot, _ := b.store.Get(t.Context(), "t")
	delta, _ := b.store.Get(t.Context(), "d")
	truncated := b.put(t, "cut", snapshot[:len(snapshot)/2])
	corrupted := append([]byte(nil), snapshot...)
	corrupted[len(corrupted)/2] ^= 1
	flipped := b.put(t, "flipped", corrupted)
	twice := named
	twice.Deltas = append(named.Deltas, named.Deltas[0])
	for name, w := range map[string]tables.DesiredState{
		"it ends after":             {Tables: []config.BlockTable{{Object: "cut", SHA256: truncated}}},
		"the checksum of chunk":     {Tables: []config.BlockTable{{Object: "flipped", SHA256: flipped}}},
		"SHA-256 does not match":    {Tables: []config.BlockTable{{Object: "t", SHA256: truncated}}},
		"not found":                 {Tables: []config.BlockTable{{Object: "none", SHA256: truncated}}},
		"64 hexadecimal digits":     {Tables: []config.BlockTable{{Object: "t", SHA256: "abc"}}},
		"it is a delta":             {Tables: []config.BlockTable{{Object: "d", SHA256: fmt.Sprintf("%x", sha256.Sum256(delta))}}},
		"but":                       {Tables: []config.BlockTable{twice}},
		"remove one":                {Tables: []config.BlockTable{named, named}},
		"write it as 192.0.2.0/24":  {Tables: []config.BlockTable{named}, Blocks: []config.Block{{Prefix: "192.0.2.1/24"}}},
		"192.0.2.0/24: given twice": {Blocks: []config.Block{{Prefix: "192.0.2.0/24"}, {Prefix: "192.0.2.0/24"}}},
	} {
		err := setAndReconcile(t, l, w)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("got %v, want %q", err, name)
		}
		if l.Table() != inForce {
			t.Fatalf("%s: the table in force changed", name)
		}
	}
	if err := setAndReconcile(t, l, tables.DesiredState{Tables: []config.BlockTable{named}}); err != nil {
		t.Errorf("after the faults: %v", err)
	}
}

// TestStartDuringOutageReadsFromAnotherHost loads a table from another host while the
// store is down and every fifth call fails. A retry must not read parts again that are
// already loaded.
func TestStartDuringOutageReadsFromAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		source, named := b.newLoader(), b.stored(t, 200_000)
		w := tables.DesiredState{Tables: []config.BlockTable{named}}
		if err := setAndReconcile(t, source, w); err != nil {
			t.Fatal(err)
		}
		b.network.services["p1"] = source.Service()
		b.store.down, b.network.failEvery = true, 5
		starting := b.newLoader()
		err := setAndReconcile(t, starting, w)
		for tries := 0; err != nil && tries < 100; tries++ {
			err = starting.Reconcile(t.Context())
		}
		if err != nil {
			t.Fatal(err)
		}
		if got := region(starting, "10.0.0.0") + region(starting, "10.3.0.5"); got != "deltabase" || starting.Table().Len() != source.Table().Len() {
			t.Errorf("got %d blocks and %s", starting.Table().Len(), got)
		}
		data, _ := b.store.Get(t.Context(), "t")
		if most := 3 * (len(data)/(48<<10) + 8); b.network.calls > most {
			t.Errorf("%d calls for %d bytes, want at most %d: loading was restarted", b.network.calls, len(data), most)
		}
	})
}
