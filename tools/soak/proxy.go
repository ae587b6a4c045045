package soak

import (
	"net"
	"sync"
	"time"
)

// proxyFault describes how a proxy disturbs its connections.
type proxyFault struct {
	// delay is added before each write.
	delay time.Duration
	// dropToUpstream and dropToClient discard all bytes in one direction.
	dropToUpstream, dropToClient bool
}

// proxy forwards TCP connections to an upstream address, with the fault that is set.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]bool
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: upstream, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.forward(server, client, func(f proxyFault) bool { return f.dropToUpstream })
		go p.forward(client, server, func(f proxyFault) bool { return f.dropToClient })
	}
}

func (p *proxy) forward(to, from net.Conn, shouldDrop func(proxyFault) bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if fault := p.currentFault(); n > 0 && !shouldDrop(fault) {
			time.Sleep(fault.delay)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// reset closes all connections, with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
