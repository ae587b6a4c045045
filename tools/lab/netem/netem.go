// Package netem emulates the network between regions: it delays connections and
// limits their byte rate.
//
// A connection to another region passes through a relay on loopback, so that the
// dialling side still holds a TCP connection with deadlines and half-close.
package netem

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// chunkBytes is the size of the largest chunk of data that is delayed as a unit.
	chunkBytes = 32 << 10
	// maxQueuedChunks is the number of chunks that may be in flight in one direction
	// of a connection.
	maxQueuedChunks = 64
)

// Network emulates the links between regions, by the region of each address. It is
// safe for concurrent use.
type Network struct {
	// oneWay is the latency between two regions in one direction.
	oneWay time.Duration
	// bytesPerSecond is the byte rate between a pair of regions in one direction.
	bytesPerSecond int

	listener net.Listener
	// pairMu serialises dial and accept, so that the accepted connection is the other
	// end of the dialled one.
	pairMu sync.Mutex

	mu       sync.Mutex
	regions  map[string]string
	limiters map[link]*rate.Limiter
	blocked  map[link]bool
}

// link is the network link from one region to another, in one direction.
type link struct{ from, to string }

// New returns a network with the given one-way latency and byte rate between any two
// regions.
func New(oneWay time.Duration, bytesPerSecond int) (*Network, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "netem")
	}
	return &Network{
		oneWay: oneWay, bytesPerSecond: bytesPerSecond, listener: l,
		regions: make(map[string]string), limiters: make(map[link]*rate.Limiter), blocked: make(map[link]bool),
	}, nil
}

// SetRegion sets the region of an address.
func (n *Network) SetRegion(addr, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[addr] = region
}

// SetBlocked sets whether new connections from one region to another fail.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = blocked
}

// Close closes the relay's listener.
func (n *Network) Close() { _ = n.listener.Close() }

// Dialer returns the dial function of a process in the region. A dial to another
// region first waits for the round trip of the TCP handshake.
func (n *Network) Dialer(region string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		toRegion, blocked := n.lookup(region, addr)
		if blocked {
			return nil, errors.Newf("connections from region %s to region %s are blocked", region, toRegion)
		}
		if toRegion == "" || toRegion == region {
			return dialer.DialContext(ctx, network, addr)
		}
		time.Sleep(2 * n.oneWay)
		return n.dialRelay(ctx, network, addr, link{region, toRegion})
	}
}

func (n *Network) lookup(from, addr string) (region string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	region = n.regions[addr]
	return region, n.blocked[link{from, region}]
}

func (n *Network) limiter(l link) *rate.Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	limiter := n.limiters[l]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(n.bytesPerSecond), max(chunkBytes, n.bytesPerSecond/100))
		n.limiters[l] = limiter
	}
	return limiter
}

func (n *Network) dialRelay(ctx context.Context, network, addr string, forward link) (net.Conn, error) {
	var dialer net.Dialer
	serverConn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	callerConn, relayConn, err := n.pair(ctx)
	if err != nil {
		_ = serverConn.Close()
		return nil, err
	}
	reverse := link{forward.to, forward.from}
	var directions sync.WaitGroup
	directions.Go(func() { n.copyDelayed(serverConn, relayConn, n.limiter(forward)) })
	directions.Go(func() { n.copyDelayed(relayConn, serverConn, n.limiter(reverse)) })
	go func() {
		directions.Wait()
		_ = serverConn.Close()
		_ = relayConn.Close()
	}()
	return callerConn, nil
}

// pair returns both ends of a new loopback connection.
func (n *Network) pair(ctx context.Context) (callerConn, relayConn net.Conn, err error) {
	n.pairMu.Lock()
	defer n.pairMu.Unlock()
	var dialer net.Dialer
	callerConn, err = dialer.DialContext(ctx, "tcp", n.listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	relayConn, err = n.listener.Accept()
	if err != nil {
		_ = callerConn.Close()
		return nil, nil, err
	}
	return callerConn, relayConn, nil
}

// chunk is data that is due for delivery at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies from src to dst with the latency and byte rate of the link, and
// closes dst for writing at the end of the stream. After a write error it drains the
// queue, so that the reading goroutine can end.
func (n *Network) copyDelayed(dst, src net.Conn, limiter *rate.Limiter) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, chunkBytes)
			size, err := src.Read(buf)
			if size > 0 {
				_ = limiter.WaitN(context.Background(), size) // never above the limiter's burst
				queue <- chunk{data: buf[:size], due: time.Now().Add(n.oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range queue {
		if failed {
			continue
		}
		time.Sleep(time.Until(c.due))
		if _, err := dst.Write(c.data); err != nil {
			failed = true
			_ = src.Close()
		}
	}
	if closer, ok := dst.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}
