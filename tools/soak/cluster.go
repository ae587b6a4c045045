package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// readyTimeout limits a readiness check.
const readyTimeout = 500 * time.Millisecond

// failureDomains are pairs of a failure domain and its region.
var failureDomains = [][2]string{{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"}}

// host is one quetzald process with its own connection to the store.
type host struct {
	name  string
	index int
	// entry is the address on which the host serves callers, ready that of its readiness check,
	// and settings the path of its settings file.
	entry, ready string
	settings     string
	// endpoint is the store's address for this host only, and storeProxy the proxy in
	// front of it.
	endpoint   *standin.Endpoint
	storeProxy *proxy

	mu      sync.Mutex
	process *exec.Cmd
	// generation counts the processes that were started.
	generation int
}

// cluster holds the store, the hosts and the targets of a run.
type cluster struct {
	*operator
	builds  builds
	folder  string
	hosts   []*host
	targets []*standin.Target
	// targetProxies are the proxies in front of the targets, in the same order.
	targetProxies []*proxy
}

func newCluster(b builds, folder string, hosts, targets int) (*cluster, error) {
	c := &cluster{operator: newOperator(standin.NewStore()), builds: b, folder: folder}
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
		c.setTargetState(i, targetReady)
	}
	for i := range hosts {
		h, err := c.newHost(i)
		if err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
	}
	return c, nil
}

// States of targets. A target that is gone has no report.
const (
	targetReady    = "ready"
	targetDraining = "draining"
	targetGone     = ""
)

// setTargetState writes a target's report with the given state to the store.
func (c *cluster) setTargetState(i int, state string) {
	t := c.targets[i]
	if state == targetGone {
		c.reportTarget(t.ID, true, nil)
		return
	}
	c.reportTarget(t.ID, state != targetReady, func(sequence int) string {
		return t.ReportWithAddr(c.targetProxies[i].addr(), "bokun", failureDomains[i%len(failureDomains)][0], state, sequence)
	})
}

func (c *cluster) newHost(i int) (*host, error) {
	ports, err := standin.FreePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: fmt.Sprint("front-", i), index: i, endpoint: c.store.NewEndpoint(),
		entry: fmt.Sprint("127.0.0.1:", ports[0]), ready: fmt.Sprint("127.0.0.1:", ports[1]),
	}
	if h.storeProxy, err = newProxy(h.endpoint.Addr()); err != nil {
		return nil, err
	}
	domain := failureDomains[i%len(failureDomains)]
	text := fmt.Sprintf("[host]\nname = %q\nregion = %q\nfailure_domain = %q\nip = \"127.0.0.1\"\n"+
		"[listen]\nentry = %q\nready = %q\ndirectory = \"127.0.0.1:%d\"\nfirst_peer_port = %d\nlast_peer_port = 65535\n"+
		"[store]\naddress = %q\n[bounds]\ngrace = \"6s\"\nretry_ratio = 0.2\nretry_extra = 60.0\n[regions]\n",
		h.name, domain[1], domain[0], h.entry, h.ready, ports[2], ports[3], h.storeProxy.addr())
	for _, d := range failureDomains {
		text += fmt.Sprintf("%q = %q\n", d[0], d[1])
	}
	h.settings = filepath.Join(c.folder, h.name+".toml")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// launch starts a host's process. Its log is appended to a file next to the settings.
func (c *cluster) launch(h *host) error {
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
	process := exec.Command(c.builds.of(h.index, h.generation+1))
	process.Env = []string{adapter.SettingsVariable + "=" + h.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start a host")
	}
	h.process = process
	h.generation++
	return nil
}

// currentGeneration returns the number of the host's newest process, from 1.
func (h *host) currentGeneration() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation
}

// pid returns the number of the host's process, or 0 if it has none.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Process.Pid
}

// isRunning reports whether the process of a generation has not been awaited yet.
func (h *host) isRunning(generation int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.generation == generation
}

// readinessURL returns the URL of the host's readiness check.
func (h *host) readinessURL() string { return "http://" + h.ready + "/-/readiness" }

// isReady reports whether the host's readiness check succeeds.
func (h *host) isReady() bool {
	client := http.Client{Timeout: readyTimeout}
	resp, err := client.Get(h.readinessURL())
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
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
