package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot"
	"quetzalknot/platform/httpclient"
	"quetzalknot/process/settings"
	"quetzalknot/tools/lab/netem"
	"quetzalknot/tools/standin/platformd"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/version/config"
	"quetzalknot/version/ticket"
)

const (
	readyTimeout = 15 * time.Second
	readyPause   = 20 * time.Millisecond
	// loopback lets the system pick a port.
	loopback = "127.0.0.1:0"
	operator = "lab"
)

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	// Platform is the stand-in for the platform.
	Platform *platformd.Server
	// Targets are the stand-ins of each service, in order of name.
	Targets map[string][]*targetd.Server
	Network *netem.Network

	logs         io.Writer
	platformHTTP *http.Server
	platformURL  string

	mu         sync.Mutex
	hosts      []*Host
	services   map[string]*config.Service
	nextTicket uint64
}

// Host is one entry host of the fleet.
type Host struct {
	Name   string
	Region string
	Domain string
	// Node is nil while the host is down.
	Node *quetzalknot.Node
}

// Start runs the deployment with every service under the policy, and returns once
// all hosts are ready and have the first ticket in force. Log lines go to logs.
func Start(ctx context.Context, d Deployment, policy string, logs io.Writer) (*Fleet, error) {
	network, err := netem.New(d.OneWay, d.LinkBytesPerSecond)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Deployment: d, Network: network, Platform: platformd.New(), logs: logs,
		Targets: make(map[string][]*targetd.Server), services: make(map[string]*config.Service), nextTicket: 1,
	}
	if err := f.start(ctx, policy); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, policy string) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, svc := range f.Deployment.Services {
		if err := f.startTargets(svc, policy); err != nil {
			return err
		}
	}
	for i := range f.Deployment.Hosts {
		at := f.Deployment.placeOf(i)
		f.hosts = append(f.hosts, &Host{Name: hostName(i), Region: at.region, Domain: at.domain})
		if err := f.StartHost(ctx, i); err != nil {
			return err
		}
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	return f.SubmitAll(ctx)
}

func (f *Fleet) startPlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	f.platformHTTP = &http.Server{Handler: f.Platform.Handler()}
	f.platformURL = "http://" + l.Addr().String()
	go func() { _ = f.platformHTTP.Serve(l) }()
	return nil
}

func (f *Fleet) startTargets(spec Service, policy string) error {
	svc := &config.Service{
		Name: spec.Name, Policy: policy, Classes: spec.Classes,
		Shed: config.ShedForm{Status: http.StatusServiceUnavailable, Header: targetd.HeaderShed},
	}
	for i := range spec.Targets {
		name, at := targetName(spec.Name, i), f.Deployment.placeOf(i)
		server, err := targetd.Start(targetd.Options{Name: name, Addr: loopback, Slots: spec.Slots, ConnectDelay: connectCost})
		if err != nil {
			return err
		}
		f.Targets[spec.Name] = append(f.Targets[spec.Name], server)
		f.Network.Place(server.Addr(), at.region)
		svc.Targets = append(svc.Targets, config.Target{
			Name: name, Addr: server.Addr(), Region: at.region, FailureDomain: at.domain, Slots: spec.Slots,
		})
	}
	f.services[spec.Name] = svc
	return nil
}

// StartHost starts a process on the i-th host.
func (f *Fleet) StartHost(ctx context.Context, i int) error {
	h := f.hosts[i]
	s := &settings.Settings{
		Host:     settings.Host{Name: h.Name, Region: h.Region, FailureDomain: h.Domain},
		Listen:   settings.Listen{API: loopback, Forward: loopback, Peer: loopback},
		Platform: settings.Platform{URL: f.platformURL},
	}
	for _, r := range f.Deployment.Regions {
		s.Topology.Regions = append(s.Topology.Regions, settings.Region{Name: r.Name, FailureDomains: r.FailureDomains})
	}
	if err := s.Complete(); err != nil {
		return err
	}
	node := quetzalknot.New(s, quetzalknot.Options{
		Platform: httpclient.New(f.platformURL), Logs: f.logs, Dial: f.Network.Dialer(h.Region),
	})
	if err := node.Start(ctx); err != nil {
		return err
	}
	addrs := node.Addrs()
	f.Network.Place(addrs.Peer, h.Region)
	f.Network.Place(addrs.Forward, h.Region)
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Node = node
	return nil
}

// StopHost stops the process on the i-th host gracefully.
func (f *Fleet) StopHost(ctx context.Context, i int) error {
	f.mu.Lock()
	node := f.hosts[i].Node
	f.hosts[i].Node = nil
	f.mu.Unlock()
	if node == nil {
		return nil
	}
	return node.Stop(ctx)
}

// Hosts returns the hosts whose process runs.
func (f *Fleet) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []Host
	for _, h := range f.hosts {
		if h.Node != nil {
			up = append(up, *h)
		}
	}
	return up
}

func (f *Fleet) waitReady(ctx context.Context) error {
	return f.waitFor(ctx, "ready", func(h Host) bool { return h.Node.Ready() })
}

// WaitVersion returns once every running host has the version in force.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64) error {
	return f.waitFor(ctx, "version in force", func(h Host) bool { return h.Node.Version() >= version })
}

func (f *Fleet) waitFor(ctx context.Context, what string, done func(Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range f.Hosts() {
		for !done(h) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "host %s: %s", h.Name, what)
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}

// SubmitAll submits one ticket with the whole state of the deployment.
func (f *Fleet) SubmitAll(ctx context.Context) error {
	t := &ticket.Ticket{}
	for _, spec := range f.Deployment.Services {
		t.Services = append(t.Services, *f.services[spec.Name])
	}
	for _, r := range f.Deployment.Regions {
		t.Blocks = append(t.Blocks, config.Block{Prefix: r.Block, Region: r.Name})
	}
	return f.Submit(ctx, t)
}

// Submit gives the ticket the next number and waits until it is in force.
func (f *Fleet) Submit(ctx context.Context, t *ticket.Ticket) error {
	f.mu.Lock()
	t.Number = f.nextTicket
	f.nextTicket++
	f.mu.Unlock()
	t.Operator = operator
	if _, err := f.Hosts()[0].Node.Submit(ctx, t); err != nil {
		return err
	}
	return f.WaitVersion(ctx, t.Number)
}

// Service returns the state of a service as last submitted.
func (f *Fleet) Service(name string) *config.Service { return f.services[name] }

// Close stops everything.
func (f *Fleet) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for i := range f.hosts {
		stopping.Go(func() { _ = f.StopHost(ctx, i) })
	}
	stopping.Wait()
	for _, servers := range f.Targets {
		for _, s := range servers {
			s.Close()
		}
	}
	if f.platformHTTP != nil {
		_ = f.platformHTTP.Close()
	}
	f.Network.Close()
}

// APIAddrs returns the API addresses of the running hosts.
func (f *Fleet) APIAddrs() []string {
	var addrs []string
	for _, h := range f.Hosts() {
		addrs = append(addrs, h.Node.Addrs().API)
	}
	return addrs
}

// AllTargets returns the targets of all services.
func (f *Fleet) AllTargets() []*targetd.Server {
	var all []*targetd.Server
	for _, spec := range f.Deployment.Services {
		all = append(all, f.Targets[spec.Name]...)
	}
	return all
}
