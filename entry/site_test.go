package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// patience is how long tests wait for what must happen.
const patience = 10 * time.Second

// site is a store, targets and hosts on the loopback interface.
type site struct {
	t     *testing.T
	store *standin.Store
	// doors are the hosts' own addresses of the store.
	doors   []*standin.Door
	targets []*standin.Target
	hosts   []*Host
	// logs takes the log lines of hosts that are added.
	logs io.Writer
}

// coldPerSecond is how many requests a second a cold target of the site bears.
const coldPerSecond = 4.9

// newSite starts a site and waits until all hosts are ready.
func newSite(t *testing.T, targets, hosts int) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore(), logs: io.Discard}
	s.store.PutState(standin.DesiredState(1, coldPerSecond))
	for i := range targets {
		s.addTarget(fmt.Sprintf("i-%d", i))
	}
	for i := range hosts {
		s.addHost(fmt.Sprintf("front-%d", i))
	}
	for _, h := range s.hosts {
		s.eventually("host is ready", h.ready)
	}
	return s
}

func (s *site) addTarget(id string) *standin.Target {
	s.t.Helper()
	target, err := standin.NewTarget(id)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(target.Close)
	s.targets = append(s.targets, target)
	s.store.PutTarget(id, target.Report("bokun", "no-gler", "ready", 1))
	return target
}

func (s *site) addHost(name string) *Host {
	s.t.Helper()
	door := s.store.Open()
	s.t.Cleanup(door.Close)
	s.doors = append(s.doors, door)
	settings, err := Parse([]byte(settingsText(s.t, name, door.Addr())))
	if err != nil {
		s.t.Fatal(err)
	}
	h := New(settings, "", s.logs)
	if err := h.Start(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(h.close)
	s.hosts = append(s.hosts, h)
	return h
}

func settingsText(t *testing.T, name, store string) string {
	t.Helper()
	return fmt.Sprintf(`[host]
name = %q
region = "nordur"
failure_domain = "no-gler"
ip = "127.0.0.1"
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
`, name, freePort(t), freePort(t), freePort(t), freePort(t), store)
}

func freePort(t *testing.T) int {
	t.Helper()
	ports, err := standin.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return ports[0]
}

func (s *site) eventually(what string, done func() bool) {
	s.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	s.t.Fatalf("never: %s", what)
}

// send makes one request on a connection of its own; status 0 means that the connection
// ended without an answer.
func send(addr, method, path, id, body string) standin.Reply {
	c, err := standin.Dial(addr, patience)
	if err != nil {
		return standin.Reply{}
	}
	defer c.Close()
	reply, err := c.Send(standin.Call{ID: id, Method: method, Path: path, Body: body, Object: "17", Left: 3 * time.Second}, patience)
	if err != nil {
		return standin.Reply{}
	}
	return reply
}

func (h *Host) addr() string { return h.settings.Load().Listen.Entry }
