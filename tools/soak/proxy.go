package soak

import (
	"net"
	"sync"
	"time"
)

// harm is what a proxy does to its connections.
type harm struct {
	delay time.Duration
	// dropUp and dropDown swallow the bytes of one direction.
	dropUp, dropDown bool
}

// proxy passes connections on to an address, and harms them on request.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	harm  harm
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		down, err := p.listener.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = down.Close()
			continue
		}
		p.mu.Lock()
		p.conns[down], p.conns[up] = true, true
		p.mu.Unlock()
		go p.pass(up, down, func(h harm) bool { return h.dropUp })
		go p.pass(down, up, func(h harm) bool { return h.dropDown })
	}
}

func (p *proxy) pass(to, from net.Conn, dropped func(harm) bool) {
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
		if h := p.state(); n > 0 && !dropped(h) {
			time.Sleep(h.delay)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) state() harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *proxy) set(h harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
}

// reset breaks all connections off.
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
