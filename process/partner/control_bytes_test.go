package partner

import (
	"context"
	"fmt"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"quetzalknot/process/crash"
	"quetzalknot/process/metrics"
	"quetzalknot/process/mirror"
	"quetzalknot/process/peer"
)

const (
	// controlBound is the design's bound on what a host sends for control, in bytes a second.
	controlBound = 2000
	// feedInterval is the time between two calls of a reader for the changes of a table.
	feedInterval = 2500 * time.Millisecond
	// followInterval is the time between two checks whether a host has to read the store.
	followInterval = 100 * time.Millisecond
	// controlTables are the tables of the test; table has the records.
	otherTable = "state"
)

// controlFleet is a fleet of groups that share a store, with the bytes that each host sends.
type controlFleet struct {
	*testNetwork
	store  *mirror.Mirror
	groups []*Group
	// feedInterval is the time between two reads of a reader.
	feedInterval time.Duration
	// reads says which hosts read the store.
	reads map[*Group]*atomic.Bool
	sent  map[string]int
	calls int
	// revision counts the changes of checkChanges.
	revision uint64
	// refused holds the hosts that the store refuses.
	refused map[*Group]bool
	// storeRecords is the number of records that the store gave.
	storeRecords int
}

// sizedClient is a networkClient that counts the bytes of the encoded messages.
type sizedClient struct {
	networkClient
	fleet *controlFleet
	group *Group
}

// Call implements peer.RPCClient.
func (c *sizedClient) Call(ctx context.Context, addr, method string, args, reply any) error {
	request := encodedSize(rpc.Request{ServiceMethod: method, Seq: 100}) + encodedSize(args)
	c.fleet.count(c.from, request, 1)
	c.group.CountMessage(addr, method, peer.MessageSize{Sent: request})
	err := c.networkClient.Call(ctx, addr, method, args, reply)
	if err != nil {
		return err
	}
	response := encodedSize(rpc.Response{ServiceMethod: method, Seq: 100}) + encodedSize(reply)
	c.fleet.count(addr, response, 0)
	c.group.CountMessage(addr, method, peer.MessageSize{Received: response})
	return nil
}

func (f *controlFleet) count(host string, bytes, calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[host] += bytes
	f.calls += calls
}

// reset forgets what was counted so far.
func (f *controlFleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.sent)
	f.calls, f.storeRecords = 0, 0
}

func encodedSize(v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// newControlFleet starts hosts in three regions of three failure domains each.
func newControlFleet(t *testing.T, hosts int) *controlFleet {
	f := &controlFleet{
		testNetwork:  &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)},
		feedInterval: feedInterval, store: mirror.New(), sent: make(map[string]int), reads: make(map[*Group]*atomic.Bool), refused: make(map[*Group]bool),
	}
	f.write(otherTable, "config", 1)
	f.write(table, "i-0", 1)
	var members []Member
	for i := range hosts {
		g := f.addHost(i)
		members = append(members, g.opts.Self)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * feedInterval) // the calls and pauses end
	})
	for i, g := range f.groups {
		g.AddMembers(members)
		f.read(g)
		go func() {
			time.Sleep(time.Duration(i*37%1000) * time.Millisecond)
			go g.Run(ctx)
			f.follow(ctx, g)
		}()
	}
	return f
}

// addHost adds a host. One host in three has twice the capacity, and addresses have their usual
// length.
func (f *controlFleet) addHost(i int) *Group {
	region := i % 3
	m := mirror.New()
	client := &sizedClient{fleet: f}
	self := Member{
		Name: fmt.Sprintf("front-%03d", i), Incarnation: 1764886177000000000 + int64(i), Region: fmt.Sprintf("region-%d", region),
		Domain: fmt.Sprintf("domain-%d-%d", region, i/3%3), Peer: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250),
		Entry: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Capacity: 48,
	}
	if i/9%3 == 0 {
		self.Capacity = 100
	}
	g := New(Options{
		Self: self, Tables: []string{otherTable, table}, Mirror: m, Apply: func(d mirror.Delta) { m.Apply(d) }, Crashes: crash.New(),
		RequestRate: func() float64 { return 31.5 }, Client: client, Metrics: metrics.NewSet(), Log: zerolog.Nop(), Now: time.Now,
	})
	reads := new(atomic.Bool)
	f.reads[g] = reads
	g.opts.StoreStatus = func() StoreStatus { return StoreStatus{Reachable: reads.Load(), Age: time.Second} }
	client.networkClient, client.group = networkClient{f.testNetwork, self.Peer}, g
	f.mu.Lock()
	f.testNetwork.groups[self.Peer] = g
	f.mu.Unlock()
	f.groups = append(f.groups, g)
	return g
}

// write writes a record to the store at a revision. The number of all tables advances.
func (f *controlFleet) write(name, key string, revision uint64) {
	value := []byte(fmt.Sprintf(`{"name":"bokun","addr":"10.1.2.3:8564","domain":"sv-hofn","release":"v1","slots":6,"status":"ready","delay":"0ms","count":%d,"started":1764908177}`, revision))
	f.store.Apply(mirror.Delta{Table: name, Era: 1, UpTo: revision, Records: []mirror.Record{{Key: key, Revision: revision, Value: value}}})
	f.advance(revision)
}

func (f *controlFleet) advance(revision uint64) {
	for _, name := range []string{otherTable, table} {
		f.store.Apply(mirror.Delta{Table: name, Era: 1, UpTo: revision})
	}
}

// read brings a host's copies up to date and reports whether the store gave it records.
func (f *controlFleet) read(g *Group) bool {
	records := 0
	for _, name := range g.opts.Tables {
		delta := f.store.DeltaSince(name, g.opts.Mirror.Position(name))
		records += len(delta.Records)
		g.opts.Apply(delta)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRecords += records
	return records > 0
}

// follow reads the store while the host has to, and tells its partners of changes.
func (f *controlFleet) follow(ctx context.Context, g *Group) {
	for ctx.Err() == nil {
		reads := (g.IsStoreReader() || !g.HasStoreReader(time.Now())) && !f.isRefused(g)
		f.reads[g].Store(reads)
		if !reads {
			time.Sleep(followInterval)
			continue
		}
		if f.read(g) {
			g.NotifyNonReaders(ctx)
		}
		time.Sleep(f.interval())
	}
}

// TestControlBytesInSteadyState: at 30 and at 300 hosts each host must send less than the bound on
// average, and the calls must not exceed one a second for each partner. The number of the
// store advances once a second, and one target changes every five seconds.
func TestControlBytesInSteadyState(t *testing.T) {
	const settle, seconds = 10, 20
	for _, hosts := range []int{30, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newControlFleet(t, hosts)
				time.Sleep(settle * time.Second)
				f.reset()
				before := f.bytesByCause()
				for i := range uint64(seconds) {
					f.advance(10 + i)
					if i%5 == 0 {
						f.write(table, "i-1", 10+i)
					}
					time.Sleep(time.Second)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				busiest, total := 0, 0
				for _, bytes := range f.sent {
					busiest, total = max(busiest, bytes), total+bytes
				}
				t.Logf("%d hosts: %d bytes a second and host, the busiest %d, %d calls", hosts, total/hosts/seconds, busiest/seconds, f.calls/seconds)
				for cause, bytes := range f.bytesByCause() {
					t.Logf("%s: %d bytes a second", cause, (bytes-before[cause])/seconds)
				}
				if got := total / hosts / seconds; got > controlBound {
					t.Errorf("each host sends %d bytes a second, the bound is %d", got, controlBound)
				}
				if most := hosts * (nearPartners + 2*farPartners); f.calls/seconds > most {
					t.Errorf("%d calls a second among %d hosts, the bound is %d", f.calls/seconds, hosts, most)
				}
			})
		})
	}
}

// bytesByCause returns the sum of the hosts' metrics of bytes by class and message.
func (f *controlFleet) bytesByCause() map[string]int64 {
	total := make(map[string]int64)
	for _, g := range f.groups {
		for _, class := range []string{classDomain, classRegion, classFar} {
			for _, message := range []string{"beat", "brief", "pull", "snapshot"} {
				name := class + "." + message
				sent, received := g.opts.Metrics.Counter("partners.sent_bytes."+name), g.opts.Metrics.Counter("partners.received_bytes."+name)
				total[name] += sent.Value() + received.Value()
			}
		}
	}
	return total
}

// interval returns the time between two reads of a reader.
func (f *controlFleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feedInterval
}

// isRefused reports whether the store refuses a host.
func (f *controlFleet) isRefused(g *Group) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[g]
}
