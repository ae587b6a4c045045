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
	// Process is nil while the host is down.
	Process *quetzalknot.Host
}

// Start starts the deployment with the policy for every service. It returns once all
// hosts are ready and have the first ticket in force. The hosts log to logs.
func Start(ctx context.Context, d Deployment, policy string, logs io.Writer) (*Cluster, error) {
	network, err := netem.New(d.OneWay, d.LinkBytesPerSecond)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Deployment: d, Network: network, Platform: platformd.New(), logs: logs,
		Targets: make(map[string][]*targetd.Server), services: make(map[string]*config.Service), nextTicket: 1,
	}
	if err := c.start(ctx, policy); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, policy string) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	for _, svc := range c.Deployment.Services {
		if err := c.startTargets(svc, policy); err != nil {
			return err
		}
	}
	for i := range c.Deployment.Hosts {
		loc := c.Deployment.locationOf(i)
		c.hosts = append(c.hosts, &Host{Name: hostName(i), Region: loc.region, Domain: loc.domain})
		if err := c.StartHost(ctx, i); err != nil {
			return err
		}
	}
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	return c.SubmitInitialState(ctx)
}

func (c *Cluster) startPlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	c.platformHTTP = &http.Server{Handler: c.Platform.Handler()}
	c.platformURL = "http://" + l.Addr().String()
	go func() { _ = c.platformHTTP.Serve(l) }()
	return nil
}

func (c *Cluster) startTargets(spec Service, policy string) error {
	svc := &config.Service{
		Name: spec.Name, Policy: policy, Classes: spec.Classes, HedgeShare: spec.HedgeShare,
		EchoRequestID: true,
		Shed:          config.ShedResponse{Status: http.StatusServiceUnavailable, Header: targetd.HeaderShed},
	}
	for i := range spec.Targets {
		name, loc := targetName(spec.Name, i), c.Deployment.locationOf(i)
		server, err := targetd.Start(targetd.Options{Name: name, Addr: loopback, Slots: spec.Slots, ConnectDelay: connectDelay})
		if err != nil {
			return err
		}
		c.Targets[spec.Name] = append(c.Targets[spec.Name], server)
		c.Network.SetRegion(server.Addr(), loc.region)
		svc.Targets = append(svc.Targets, config.Target{
			Name: name, Addr: server.Addr(), Region: loc.region, FailureDomain: loc.domain, Slots: spec.Slots,
		})
	}
	c.services[spec.Name] = svc
	return nil
}

// StartHost starts the process of the i-th host, counted from 0.
func (c *Cluster) StartHost(ctx context.Context, i int) error {
	h := c.hosts[i]
	s := &settings.Settings{
		Host:     settings.Host{Name: h.Name, Region: h.Region, FailureDomain: h.Domain},
		Listen:   settings.Listen{API: loopback, Forward: loopback, Peer: loopback},
		Platform: settings.Platform{URL: c.platformURL},
	}
	for _, r := range c.Deployment.Regions {
		s.Topology.Regions = append(s.Topology.Regions, settings.Region{Name: r.Name, FailureDomains: r.FailureDomains})
	}
	if c.Deployment.Adjust != nil {
		c.Deployment.Adjust(s)
	}
	if err := s.ApplyDefaultsAndCheck(); err != nil {
		return err
	}
	process := quetzalknot.New(s, quetzalknot.Options{
		Platform: httpclient.New(c.platformURL), Logs: c.logs, Dial: c.Network.Dialer(h.Region),
	})
	if err := process.Start(ctx); err != nil {
		return err
	}
	addrs := process.Addrs()
	c.Network.SetRegion(addrs.Peer, h.Region)
	c.Network.SetRegion(addrs.Forward, h.Region)
	c.mu.Lock()
	defer c.mu.Unlock()
	h.Process = process
	return nil
}

// StopHost stops the process of the i-th host gracefully.
func (c *Cluster) StopHost(ctx context.Context, i int) error {
	if process := c.detachProcess(i); process != nil {
		return process.Stop(ctx)
	}
	return nil
}

// KillHost ends the process of the i-th host at once, without draining.
func (c *Cluster) KillHost(i int) {
	if process := c.detachProcess(i); process != nil {
		process.Kill()
	}
}

// detachProcess returns the process of the i-th host, or nil, and marks the host as down.
func (c *Cluster) detachProcess(i int) *quetzalknot.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.hosts[i].Process
	c.hosts[i].Process = nil
	return process
}

// Hosts returns the hosts whose process is running.
func (c *Cluster) Hosts() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []Host
	for _, h := range c.hosts {
		if h.Process != nil {
			up = append(up, *h)
		}
	}
	return up
}

func (c *Cluster) waitReady(ctx context.Context) error {
	return c.waitFor(ctx, "ready", func(h Host) bool { return h.Process.Ready() })
}

// WaitVersion returns once every running host has at least this version in force.
func (c *Cluster) WaitVersion(ctx context.Context, version uint64) error {
	return c.waitFor(ctx, "version in force", func(h Host) bool { return h.Process.Version() >= version })
}

// waitFor polls every running host until done returns true for it. The condition
// describes what is waited for in the error.
func (c *Cluster) waitFor(ctx context.Context, condition string, done func(Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for _, h := range c.Hosts() {
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
func (c *Cluster) SubmitInitialState(ctx context.Context) error {
	t := &ticket.Ticket{}
	for _, spec := range c.Deployment.Services {
		t.Services = append(t.Services, *c.services[spec.Name])
	}
	for _, r := range c.Deployment.Regions {
		t.Blocks = append(t.Blocks, config.Block{Prefix: r.Block, Region: r.Name})
	}
	return c.Submit(ctx, t)
}

// Submit assigns the next number to the ticket, submits it and waits until it is in
// force at every running host.
func (c *Cluster) Submit(ctx context.Context, t *ticket.Ticket) error {
	c.mu.Lock()
	t.Number = c.nextTicket
	c.nextTicket++
	c.mu.Unlock()
	t.Operator = operator
	if _, err := c.Hosts()[0].Process.Submit(ctx, t); err != nil {
		return err
	}
	return c.WaitVersion(ctx, t.Number)
}

// Service returns the state of a service as last submitted.
func (c *Cluster) Service(name string) *config.Service { return c.services[name] }

// Close stops all hosts, targets and the platform.
func (c *Cluster) Close() {
	var stopping sync.WaitGroup
	for i := range c.hosts {
		stopping.Go(func() { c.KillHost(i) })
	}
	stopping.Wait()
	for _, servers := range c.Targets {
		for _, s := range servers {
			s.Close()
		}
	}
	if c.platformHTTP != nil {
		_ = c.platformHTTP.Close()
	}
	c.Network.Close()
}

// APIAddrs returns the API addresses of the running hosts.
func (c *Cluster) APIAddrs() []string {
	var addrs []string
	for _, h := range c.Hosts() {
		addrs = append(addrs, h.Process.Addrs().API)
	}
	return addrs
}

// AllTargets returns the targets of all services.
func (c *Cluster) AllTargets() []*targetd.Server {
	var all []*targetd.Server
	for _, spec := range c.Deployment.Services {
		all = append(all, c.Targets[spec.Name]...)
	}
	return all
}
