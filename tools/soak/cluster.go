package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// failureDomains are pairs of a failure domain and its region.
var failureDomains = [][2]string{{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"}}

// host is one quetzald process with its own connection to the store.
type host struct {
	name string
	// entry is the address on which the host serves callers, and settings the path of its
	// settings file.
	entry    string
	settings string
	// endpoint is the store's address for this host only, and storeProxy the proxy in
	// front of it.
	endpoint   *standin.Endpoint
	storeProxy *proxy

	mu      sync.Mutex
	process *exec.Cmd
	// started is set once the process has been started.
	started bool
}

// cluster holds the store, the hosts and the targets of a run.
type cluster struct {
	program string
	folder  string
	store   *standin.Store
	hosts   []*host
	targets []*standin.Target
	// targetProxies are the proxies in front of the targets, in the same order.
	targetProxies []*proxy
	// version is the version of the newest desired state.
	version int

	mu sync.Mutex
	// sequence is the sequence number of each target's last report, by target id.
	sequence map[string]int
}

func newCluster(program, folder string, hosts, targets int) (*cluster, error) {
	c := &cluster{program: program, folder: folder, store: standin.NewStore(), sequence: make(map[string]int)}
	c.publishNextState()
	for i := range targets {
		t, err := standin.NewTarget(fmt.Sprint("target-", i))
		if err != nil {
			return c, err
		}
		c.targets = append(c.targets, t)
		targetProxy, err := newProxy(t.Addr())
		if err != nil {
			return c, err
		}
		c.targetProxies = append(c.targetProxies, targetProxy)
		c.reportTarget(i, "ready")
	}
	for i := range hosts {
		h, err := c.newHost(i)
		if err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
		if err := c.start(h); err != nil {
			return c, err
		}
	}
	return c, nil
}

// reportTarget writes a target's report with the given state to the store.
func (c *cluster) reportTarget(i int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.targets[i]
	c.sequence[t.ID]++
	c.store.PutTarget(t.ID, t.ReportWithAddr(c.targetProxies[i].addr(), "bokun", failureDomains[i%len(failureDomains)][0], state, c.sequence[t.ID]))
}

// coldRatePerSecond is the limit of requests a second for a cold target.
const coldRatePerSecond = 50

// publishNextState writes a new version of the desired state to the store and returns the
// version. One of its routes contains the version in its prefix.
func (c *cluster) publishNextState() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.store.PutState(standin.DesiredState(c.version, coldRatePerSecond))
	return c.version
}

func (c *cluster) newHost(i int) (*host, error) {
	ports, err := standin.FreePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprint("front-", i), endpoint: c.store.NewEndpoint(), entry: fmt.Sprint("127.0.0.1:", ports[0])}
	if h.storeProxy, err = newProxy(h.endpoint.Addr()); err != nil {
		return nil, err
	}
	domain := failureDomains[i%len(failureDomains)]
	text := fmt.Sprintf("[host]\nname = %q\nregion = %q\nfailure_domain = %q\nip = \"127.0.0.1\"\n"+
		"[listen]\nentry = %q\nready = \"127.0.0.1:%d\"\ndirectory = \"127.0.0.1:%d\"\nfirst_peer_port = %d\nlast_peer_port = 65535\n"+
		"[store]\naddress = %q\n[bounds]\ngrace = \"6s\"\nretry_ratio = 0.2\nretry_extra = 60.0\n[regions]\n",
		h.name, domain[1], domain[0], h.entry, ports[1], ports[2], ports[3], h.storeProxy.addr())
	for _, d := range failureDomains {
		text += fmt.Sprintf("%q = %q\n", d[0], d[1])
	}
	h.settings = filepath.Join(c.folder, h.name+".toml")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts a host's process. Its log is appended to a file next to the settings.
func (c *cluster) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(c.program)
	process.Env = []string{adapter.SettingsVariable + "=" + h.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start a host")
	}
	h.process, h.started = process, true
	return nil
}

// signal sends a signal to the host's process, if it has one.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig) // the process may have ended
	}
}

// wait waits until the host's process has ended, and returns its exit error.
func (h *host) wait() error {
	h.mu.Lock()
	process := h.process
	h.mu.Unlock()
	if process == nil {
		return nil
	}
	err := process.Wait()
	h.mu.Lock()
	h.process = nil
	h.mu.Unlock()
	return err
}

// close kills all host processes and closes the proxies, the targets and the endpoints of
// the store.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.signal(syscall.SIGKILL)
		_ = h.wait() // the error is that of SIGKILL
		h.storeProxy.close()
		h.endpoint.Close()
	}
	for _, targetProxy := range c.targetProxies {
		targetProxy.close()
	}
	for _, t := range c.targets {
		t.Close()
	}
}
