package entry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/standin"
	"quetzalknot/process/partner"
)

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), text)
}

const (
	// tablesRead is the number of tables that a host without partners reads.
	tablesRead = 2
	fullRead   = `"full table read"`
)

// startTogether adds hosts to a cluster at the same time and waits until all are ready.
func startTogether(c *cluster, hosts int) {
	c.t.Helper()
	for i := range hosts {
		c.addHost(fmt.Sprintf("front-%02d", i))
	}
	for _, h := range c.hosts {
		c.eventually("host is ready", h.ready)
	}
}

// TestTablesAreReadFewTimesAtStart: of hosts of one failure domain that start together, only
// startReaders may read the tables from the store. A host that starts later must read none.
func TestTablesAreReadFewTimesAtStart(t *testing.T) {
	const hosts = 8
	c := newCluster(t, 2, 0)
	logs := new(lockedBuffer)
	c.logs, c.firstStart = logs, true
	startTogether(c, hosts)
	c.eventually("the reads are logged", func() bool { return logs.count(fullRead) >= tablesRead })
	time.Sleep(loadTimeout)
	if got, most := logs.count(fullRead), tablesRead*startReaders; got > most {
		t.Errorf("%d reads of full tables by %d hosts, want at most %d", got, hosts, most)
	}
	before := logs.count(fullRead)
	c.firstStart = false
	late := c.addHost("front-99")
	c.eventually("the late host is ready", late.ready)
	c.eventually("it has the members", func() bool { return late.group.KnownCount() == hosts+1 })
	if got := logs.count(fullRead); got != before {
		t.Errorf("a host that started later read %d full tables", got-before)
	}
}

// TestStartWithoutFirstHosts: when the first hosts by name are gone but their rows are still
// there, hosts that start together must be ready all the same.
func TestStartWithoutFirstHosts(t *testing.T) {
	c := newCluster(t, 1, 0)
	for i := range startReaders + 1 {
		name := fmt.Sprintf("a-%d", i)
		c.store.Put("hosts", "no-gler/"+name, fmt.Sprintf(`{"Name":%q,"Incarnation":1,"Region":"nordur","Domain":"no-gler","Peer":"127.0.0.1:1"}`, name))
	}
	start := time.Now()
	startTogether(c, 3)
	if took := time.Since(start); took > 2*loadTimeout {
		t.Errorf("the hosts were ready after %v", took)
	}
}

// TestRestartDoesNotUseWithdrawnTarget: a host that takes the tables over from a partner which
// is behind must not go on using a target that left meanwhile.
func TestRestartDoesNotUseWithdrawnTarget(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.store.RemoveTarget("i-1")
	late := c.addHost("front-9")
	c.eventually("the late host is ready", late.ready)
	c.eventually("it uses only the target that is left", func() bool { return late.fleet.Size() == 1 })
}

// TestSmallDomainStartsWithoutPartners: a host of a small failure domain must not wait for
// partners when it starts again; at the first start of the system it must.
func TestSmallDomainStartsWithoutPartners(t *testing.T) {
	for _, tc := range []struct {
		listed     int
		firstStart bool
		want       bool
	}{
		{0, false, false}, {0, true, true}, {1, false, false}, {1, true, true},
		{startReaders, false, false}, {startReaders + 1, false, true}, {startReaders + 1, true, true},
	} {
		if got := asksPartners(tc.listed, tc.firstStart); got != tc.want {
			t.Errorf("%d listed, first start %v: %v", tc.listed, tc.firstStart, got)
		}
	}
}

// TestContactedHostsAreBounded: a starting host must contact the first hosts of its failure
// domain and a few others, and never itself.
func TestContactedHostsAreBounded(t *testing.T) {
	var domain []partner.Member
	for i := range 41 {
		domain = append(domain, partner.Member{Name: fmt.Sprintf("h%02d", i)})
	}
	for _, self := range domain {
		hosts := contacts(domain, self.Name)
		if len(hosts) > maxContacted {
			t.Errorf("%s contacts %d hosts", self.Name, len(hosts))
		}
		first := 0
		for _, m := range hosts {
			if m.Name == self.Name {
				t.Errorf("%s contacts itself", self.Name)
			}
			if m.Name <= "h02" {
				first++
			}
		}
		if first < startReaders {
			t.Errorf("%s contacts %d of the first hosts", self.Name, first)
		}
	}
}

// addHostIn adds a host of a failure domain of nordur to a cluster.
func addHostIn(c *cluster, name, domain string) {
	c.t.Helper()
	endpoint := c.store.NewEndpoint()
	c.t.Cleanup(endpoint.Close)
	text := settingsText(c.t, name, endpoint.Addr(), c.firstStart)
	text = strings.Replace(text, `failure_domain = "no-gler"`, fmt.Sprintf("failure_domain = %q", domain), 1)
	text = strings.Replace(text, "[regions]", "[regions]\n\"no-eyri\" = \"nordur\"", 1)
	settings, err := Parse([]byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	h := New(settings, "", c.logs)
	if err := h.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(h.close)
	c.hosts = append(c.hosts, h)
}

// TestTablesAreReadFewTimesInARegion: of the hosts of two failure domains of a region that start together, only
// startReaders may read the tables from the store.
func TestTablesAreReadFewTimesInARegion(t *testing.T) {
	const hosts = 4
	c := newCluster(t, 2, 0)
	logs := new(lockedBuffer)
	c.logs, c.firstStart = logs, true
	for i := range hosts {
		addHostIn(c, fmt.Sprintf("front-eyri-%d", i), "no-eyri")
		addHostIn(c, fmt.Sprintf("front-gler-%d", i), "no-gler")
	}
	for _, h := range c.hosts {
		c.eventually("host is ready", h.ready)
	}
	time.Sleep(loadTimeout)
	if got, most := logs.count(fullRead), tablesRead*startReaders; got > most {
		t.Errorf("%d reads of full tables by %d hosts, want at most %d", got, 2*hosts, most)
	}
}

// TestStartWithoutFirstDomain: when the first failure domain of a region is gone but its rows are still there,
// the hosts of another one that start must be ready all the same.
func TestStartWithoutFirstDomain(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		c := newCluster(t, 1, 0)
		c.firstStart = firstStart
		for i := range startReaders + 1 {
			name := fmt.Sprintf("a-%d", i)
			c.store.Put("hosts", "no-eyri/"+name, fmt.Sprintf(`{"Name":%q,"Incarnation":1,"Region":"nordur","Domain":"no-eyri","Peer":"127.0.0.1:1"}`, name))
		}
		start := time.Now()
		for i := range startReaders + 1 {
			addHostIn(c, fmt.Sprintf("front-gler-%d", i), "no-gler")
		}
		for _, h := range c.hosts {
			c.eventually("host is ready", h.ready)
		}
		if took := time.Since(start); took > 2*loadTimeout {
			t.Errorf("first start %v: the hosts were ready after %v", firstStart, took)
		}
	}
}
