package cluster

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
	waitTimeout  = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	// loopback has port 0, so that the system picks a free port.
	loopback = "127.0.0.1:0"
	operator = "lab"
)

// Cluster is a running cluster: entry hosts, targets and the platform.
type Cluster struct {
	Deployment Deployment
	// Platform is the stand-in for the platform.
	Platform *platformd.Server
	// Targets are the stand-ins for the targets of each service, by service and in
	// order of name.
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

// Host is one entry host of the cluster.
type Host struct {
	Name   string
	Region string
	Domain string
	// Node is nil while the host is down.
	Node *quetzalknot.Node
}

// Start starts the deployment with the policy for every service. It returns once all
// hosts are ready and have the first ticket in force. The hosts log to logs.
func Start(ctx context.Context, d Deployment, policy string, logs io.Writer) (*Cluster, error) {
	network, err := netem.New(d.OneWay, d.LinkBytesPerSecond)
	if err != nil {
		return nil, err
	}
	f := &Cluster{
		Deployment: d, Network: network, Platform: platformd.New(), logs: logs,
		Targets: make(map[string][]*targetd.Server), services: make(map[string]*config.Service), nextTicket: 1,
	}
	if err := f.start(ctx, policy); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Cluster) start(ctx context.Context, policy string) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, svc := range f.Deployment.Services {
		if err := f.startTargets(svc, policy); err != nil {
			return err
		}
	}
	for i := range f.Deployment.Hosts {
		loc := f.Deployment.locationOf(i)
		f.hosts = append(f.hosts, &Host{Name: hostName(i), Region: loc.region, Domain: loc.domain})
		if err := f.StartHost(ctx, i); err != nil {
			return err
		}
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	return f.SubmitInitialState(ctx)
}

func (f *Cluster) startPlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	f.platformHTTP = &http.Server{Handler: f.Platform.Handler()}
	f.platformURL = "http://" + l.Addr().String()
	go func() { _ = f.platformHTTP.Serve(l) }()
	return nil
}

func (f *Cluster) startTargets(spec Service, policy string) error {
	svc := &config.Service{
		Name: spec.Name, Policy: policy, Classes: spec.Classes, HedgeShare: spec.HedgeShare,
		EchoRequestID: true,
		Shed:          config.ShedResponse{Status: http.StatusServiceUnavailable, Header: targetd.HeaderShed},
	}
	for i := range spec.Targets {
		name, loc := targetName(spec.Name, i), f.Deployment.locationOf(i)
		server, err := targetd.Start(targetd.Options{Name: name, Addr: loopback, Slots: spec.Slots, ConnectDelay: connectDelay})
		if err != nil {
			return err
		}
		f.Targets[spec.Name] = append(f.Targets[spec.Name], server)
		f.Network.SetRegion(server.Addr(), loc.region)
		svc.Targets = append(svc.Targets, config.Target{
			Name: name, Addr: server.Addr(), Region: loc.region, FailureDomain: loc.domain, Slots: spec.Slots,
		})
	}
	f.services[spec.Name] = svc
	return nil
}

// StartHost starts the process of the i-th host, counted from 0.
func (f *Cluster) StartHost(ctx context.Context, i int) error {
	h := f.hosts[i]
	s := &settings.Settings{
		Host:     settings.Host{Name: h.Name, Region: h.Region, FailureDomain: h.Domain},
		Listen:   settings.Listen{API: loopback, Forward: loopback, Peer: loopback},
		Platform: settings.Platform{URL: f.platformURL},
	}
	for _, r := range f.Deployment.Regions {
		s.Topology.Regions = append(s.Topology.Regions, settings.Region{Name: r.Name, FailureDomains: r.FailureDomains})
	}
	if f.Deployment.Adjust != nil {
		f.Deployment.Adjust(s)
	}
	if err := s.ApplyDefaultsAndCheck(); err != nil {
		return err
	}
	node := quetzalknot.New(s, quetzalknot.Options{
		Platform: httpclient.New(f.platformURL), Logs: f.logs, Dial: f.Network.Dialer(h.Region),
	})
	if err := node.Start(ctx); err != nil {
		return err
	}
	addrs := node.Addrs()
	f.Network.SetRegion(addrs.Peer, h.Region)
	f.Network.SetRegion(addrs.Forward, h.Region)
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Node = node
	return nil
}

// StopHost stops the process of the i-th host gracefully.
func (f *Cluster) StopHost(ctx context.Context, i int) error {
	if node := f.detachNode(i); node != nil {
		return node.Stop(ctx)
	}
	return nil
}

// KillHost ends the process of the i-th host at once, without draining.
func (f *Cluster) KillHost(i int) {
	if node := f.detachNode(i); node != nil {
		node.Kill()
	}
}

// detachNode returns the process of the i-th host, or nil, and marks the host as down.
func (f *Cluster) detachNode(i int) *quetzalknot.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.hosts[i].Node
	f.hosts[i].Node = nil
	return node
}

// Hosts returns the hosts whose process is running.
func (f *Cluster) Hosts() []Host {
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

func (f *Cluster) waitReady(ctx context.Context) error {
	return f.waitFor(ctx, "ready", func(h Host) bool { return h.Node.Ready() })
}

// WaitVersion returns once every running host has at least this version in force.
func (f *Cluster) WaitVersion(ctx context.Context, version uint64) error {
	return f.waitFor(ctx, "version in force", func(h Host) bool { return h.Node.Version() >= version })
}

// waitFor polls every running host until done returns true for it. The condition
// describes what is waited for in the error.
func (f *Cluster) waitFor(ctx context.Context, condition string, done func(Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for _, h := range f.Hosts() {
		for !done(h) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "host %s: %s", h.Name, condition)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// SubmitInitialState submits one ticket with all services and address blocks of the deployment.
func (f *Cluster) SubmitInitialState(ctx context.Context) error {
	t := &ticket.Ticket{}
	for _, spec := range f.Deployment.Services {
		t.Services = append(t.Services, *f.services[spec.Name])
	}
	for _, r := range f.Deployment.Regions {
		t.Blocks = append(t.Blocks, config.Block{Prefix: r.Block, Region: r.Name})
	}
	return f.Submit(ctx, t)
}

// Submit assigns the next number to the ticket, submits it and waits until it is in
// force at every running host.
func (f *Cluster) Submit(ctx context.Context, t *ticket.Ticket) error {
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
func (f *Cluster) Service(name string) *config.Service { return f.services[name] }

// Close stops all hosts, targets and the platform.
func (f *Cluster) Close() {
	var stopping sync.WaitGroup
	for i := range f.hosts {
		stopping.Go(func() { f.KillHost(i) })
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
func (f *Cluster) APIAddrs() []string {
	var addrs []string
	for _, h := range f.Hosts() {
		addrs = append(addrs, h.Node.Addrs().API)
	}
	return addrs
}

// AllTargets returns the targets of all services.
func (f *Cluster) AllTargets() []*targetd.Server {
	var all []*targetd.Server
	for _, spec := range f.Deployment.Services {
		all = append(all, f.Targets[spec.Name]...)
	}
	return all
}
