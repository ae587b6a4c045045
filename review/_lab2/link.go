package main

import (
	"net"
	"sync"
	"time"
)

// link is a host's path to the store. While it is cut, no byte passes in either direction and no end of a connection, as
// behind a partition: what a side sends is held, and new connections hang.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     chan struct{}
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: make(chan struct{})}
	close(k.open)
	go k.accept()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

// await waits while the link is cut.
func (k *link) await() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			k.await()
			far, err := net.DialTimeout("tcp", k.target, time.Second)
			if err != nil {
				_ = c.Close()
				return
			}
			go k.copy(far, c)
			k.copy(c, far)
		}()
	}
}

func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
