package entry

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/platform/standin"
	"quetzalknot/process/boottime"
)

// waitTimeout is how long tests wait for an expected condition.
const waitTimeout = 10 * time.Second

// cluster is a stand-in store, stand-in targets and entry hosts on the loopback interface.
type cluster struct {
	t     *testing.T
	store *standin.Store
	// endpoints are the addresses of the store, one for each host.
	endpoints []*standin.Endpoint
	targets   []*standin.Target
	hosts     []*Host
	// firstStart says to the hosts that are added that the whole system starts.
	firstStart bool
	// keyRevocation is the bound for revoked keys of the hosts that are added.
	keyRevocation time.Duration
	// suspended is by how much the clock that goes on during suspensions is ahead at the hosts that are added.
	suspended atomic.Int64
	// sequence is the number of the last report that writeReports wrote.
	sequence int
	// links are those of the hosts that are added.
	links map[*Host]*testLink
	// startNarrow says that the hosts that are added have narrow links from the start.
	startNarrow bool
	// logs receives the log lines of the hosts that are added.
	logs io.Writer
}

// coldPerSecond is the limit of requests a second for a cold target of the cluster.
const coldPerSecond = 4.9

// newCluster starts a cluster and waits until all hosts are ready.
func newCluster(t *testing.T, targets, hosts int) *cluster {
	t.Helper()
	return newClusterWith(t, targets, hosts, standin.DesiredState(1, coldPerSecond), 0)
}

// newClusterWith is newCluster with a desired state and a bound for revoked keys.
func newClusterWith(t *testing.T, targets, hosts int, state string, keyRevocation time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, store: standin.NewStore(), sequence: 1, logs: io.Discard, keyRevocation: keyRevocation}
	c.store.PutState(state)
	for i := range targets {
		c.addTarget(fmt.Sprintf("i-%d", i))
	}
	for i := range hosts {
		c.addHost(fmt.Sprintf("front-%d", i))
	}
	for _, h := range c.hosts {
		c.eventually("host is ready", h.ready)
	}
	return c
}

func (c *cluster) addTarget(id string) *standin.Target {
	c.t.Helper()
	target, err := standin.NewTarget(id)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(target.Close)
	c.targets = append(c.targets, target)
	c.store.PutTarget(id, target.Report("bokun", "no-gler", "ready", 1))
	return target
}

func (c *cluster) addHost(name string) *Host {
	c.t.Helper()
	endpoint := c.store.NewEndpoint()
	c.t.Cleanup(endpoint.Close)
	c.endpoints = append(c.endpoints, endpoint)
	settings, err := Parse([]byte(settingsText(c.t, name, endpoint.Addr(), c.firstStart)))
	if err != nil {
		c.t.Fatal(err)
	}
	settings.Bounds.KeyRevocation = Duration(c.keyRevocation)
	h := New(settings, "", c.logs)
	c.attachLink(h)
	h.bootTime = func() time.Duration { return boottime.Now() + time.Duration(c.suspended.Load()) }
	if err := h.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(h.close)
	c.hosts = append(c.hosts, h)
	return h
}

func settingsText(t *testing.T, name, store string, firstStart bool) string {
	t.Helper()
	return fmt.Sprintf(`[host]
name = %q
region = "nordur"
failure_domain = "no-gler"
ip = "127.0.0.1"
first_start = %t
[listen]
entry = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
first_peer_port = %d
last_peer_port = 65535
[store]
address = %q
[bounds]
grace = "4s"
retry_ratio = 0.2
retry_extra = 60.0
[regions]
"no-gler" = "nordur"
"au-fjord" = "austur"
`, name, firstStart, freePort(t), freePort(t), freePort(t), freePort(t), store)
}

func freePort(t *testing.T) int {
	t.Helper()
	ports, err := standin.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return ports[0]
}

func (c *cluster) eventually(condition string, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", condition)
}

// send sends one request on a new connection; status 0 means that the connection failed or
// ended without a response.
func send(addr, method, path, id, body string) standin.Response {
	c, err := standin.Dial(addr, waitTimeout)
	if err != nil {
		return standin.Response{}
	}
	defer c.Close()
	response, err := c.Send(standin.Call{ID: id, Method: method, Path: path, Body: body, Object: "17", Timeout: 3 * time.Second}, waitTimeout)
	if err != nil {
		return standin.Response{}
	}
	return response
}

func (h *Host) addr() string { return h.settings.Load().Listen.Entry }
