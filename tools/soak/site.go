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

// regionNames are the failure domains of a site, each with its region.
var regionNames = [][2]string{{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"}}

// host is one quetzald process and its way to the store.
type host struct {
	name     string
	entry    string
	settings string
	door     *standin.Door
	link     *proxy

	mu      sync.Mutex
	process *exec.Cmd
	// up says that the process is meant to run.
	up bool
}

// site is what a soak runs.
type site struct {
	program string
	folder  string
	store   *standin.Store
	hosts   []*host
	targets []*standin.Target
	// ways are the proxies in front of the targets.
	ways    []*proxy
	version int

	mu       sync.Mutex
	sequence map[string]int
}

func newSite(program, folder string, hosts, targets int) (*site, error) {
	s := &site{program: program, folder: folder, store: standin.NewStore(), sequence: make(map[string]int)}
	s.newState()
	for i := range targets {
		t, err := standin.NewTarget(fmt.Sprint("target-", i))
		if err != nil {
			return s, err
		}
		s.targets = append(s.targets, t)
		way, err := newProxy(t.Addr())
		if err != nil {
			return s, err
		}
		s.ways = append(s.ways, way)
		s.report(i, "ready")
	}
	for i := range hosts {
		h, err := s.newHost(i)
		if err != nil {
			return s, err
		}
		s.hosts = append(s.hosts, h)
		if err := s.start(h); err != nil {
			return s, err
		}
	}
	return s, nil
}

// report writes a target's row.
func (s *site) report(i int, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[i]
	s.sequence[t.ID]++
	s.store.PutTarget(t.ID, t.ReportVia(s.ways[i].addr(), "bokun", regionNames[i%len(regionNames)][0], state, s.sequence[t.ID]))
}

// coldPerSecond is how many requests a second a cold target bears.
const coldPerSecond = 50

// newState puts the next desired state in force; it has a route that names its version.
func (s *site) newState() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.PutState(standin.DesiredState(s.version, coldPerSecond))
	return s.version
}

func (s *site) newHost(i int) (*host, error) {
	ports, err := standin.FreePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprint("front-", i), door: s.store.Open(), entry: fmt.Sprint("127.0.0.1:", ports[0])}
	if h.link, err = newProxy(h.door.Addr()); err != nil {
		return nil, err
	}
	place := regionNames[i%len(regionNames)]
	text := fmt.Sprintf("[host]\nname = %q\nregion = %q\nfailure_domain = %q\nip = \"127.0.0.1\"\n"+
		"[listen]\nentry = %q\nready = \"127.0.0.1:%d\"\ndirectory = \"127.0.0.1:%d\"\nfirst_peer_port = %d\nlast_peer_port = 65535\n"+
		"[store]\naddress = %q\n[bounds]\ngrace = \"6s\"\nretry_ratio = 0.2\nretry_extra = 60.0\n[regions]\n",
		h.name, place[1], place[0], h.entry, ports[1], ports[2], ports[3], h.link.addr())
	for _, r := range regionNames {
		text += fmt.Sprintf("%q = %q\n", r[0], r[1])
	}
	h.settings = filepath.Join(s.folder, h.name+".toml")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start runs a host's process; its log goes to a file beside the settings.
func (s *site) start(h *host) error {
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
	process := exec.Command(s.program)
	process.Env = []string{adapter.SettingsVariable + "=" + h.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start a host")
	}
	h.process, h.up = process, true
	return nil
}

// signal sends a signal to the host's process, by its id.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig) // it may have ended
	}
}

// wait waits until the host's process has ended, and returns its error.
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

// close ends everything that the site started.
func (s *site) close() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
		_ = h.wait() // it was killed
		h.link.close()
		h.door.Close()
	}
	for _, way := range s.ways {
		way.close()
	}
	for _, t := range s.targets {
		t.Close()
	}
}
