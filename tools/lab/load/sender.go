package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"quetzalknot/client"
	"quetzalknot/verdict"
)

const (
	// maxIdlePerEntry is the number of idle connections kept to one entry host.
	maxIdlePerEntry = 256
	idleTimeout     = 30 * time.Second
)

// ClientSender sends requests through the client package, with one client for each
// caller address. It is safe for concurrent use.
type ClientSender struct {
	api       []string
	attempts  int
	transport idleCloser

	mu      sync.Mutex
	clients map[netip.Addr]*client.Client
}

// idleCloser is a RoundTripper whose idle connections can be closed.
type idleCloser interface {
	http.RoundTripper
	CloseIdleConnections()
}

// NewClientSender returns a sender that looks up entry hosts at the API addresses
// and makes at most the given number of attempts for each request.
func NewClientSender(api []string, attempts int) *ClientSender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry, IdleConnTimeout: idleTimeout}
	return &ClientSender{api: api, attempts: attempts, transport: transport, clients: make(map[netip.Addr]*client.Client)}
}

// NewPipelinedSender returns a NewClientSender that sends up to ahead idempotent requests on a
// connection before the first is answered.
func NewPipelinedSender(api []string, attempts, ahead int) *ClientSender {
	s := NewClientSender(api, attempts)
	s.transport = client.NewPipelined(s.transport, ahead, nil)
	return s
}

// Send implements Sender.
func (s *ClientSender) Send(ctx context.Context, service string, addr netip.Addr, r *http.Request) (*http.Response, verdict.Verdict, error) {
	c, err := s.client(addr)
	if err != nil {
		return nil, verdict.NotRun, err
	}
	return c.Do(ctx, service, r)
}

func (s *ClientSender) client(addr netip.Addr) (*client.Client, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.clients[addr]; c != nil {
		return c, nil
	}
	c, err := client.New(client.Options{
		API: s.api, Address: addr, Attempts: s.attempts, Transport: s.transport, Unkeyed: true,
	})
	if err != nil {
		return nil, err
	}
	s.clients[addr] = c
	return c, nil
}

// Close closes the idle connections.
func (s *ClientSender) Close() { s.transport.CloseIdleConnections() }
