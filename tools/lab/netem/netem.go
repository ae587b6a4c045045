// Package netem adds latency and a byte rate to connections between regions.
//
// A connection to another region passes through a relay on loopback, so that the
// caller still holds a TCP connection with deadlines and half-close.
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
	// pieceBytes is the largest piece of data that is delayed as one.
	pieceBytes = 32 << 10
	// linePieces is how many pieces may be under way in one direction of a connection.
	linePieces = 64
)

// Network knows the region of each address. It is safe for concurrent use.
type Network struct {
	// oneWay is the latency between two regions in one direction.
	oneWay time.Duration
	// bytesPerSecond is the rate between a pair of regions in one direction.
	bytesPerSecond int

	listener net.Listener
	// pairing makes the next accepted connection belong to the one being dialled.
	pairing sync.Mutex

	mu      sync.Mutex
	regions map[string]string
	links   map[link]*rate.Limiter
	cut     map[link]bool
}

// link is one direction between two regions.
type link struct{ from, to string }

// New returns a network with this latency and rate between any two regions.
func New(oneWay time.Duration, bytesPerSecond int) (*Network, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "netem")
	}
	return &Network{
		oneWay: oneWay, bytesPerSecond: bytesPerSecond, listener: l,
		regions: make(map[string]string), links: make(map[link]*rate.Limiter), cut: make(map[link]bool),
	}, nil
}

// Place states the region of an address.
func (n *Network) Place(addr, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[addr] = region
}

// Cut makes every new connection from one region to another fail, or work again.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// Close ends the relay.
func (n *Network) Close() { _ = n.listener.Close() }

// Dialer returns a dial function for processes in a region.
func (n *Network) Dialer(region string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		there, cut := n.lookup(region, addr)
		if cut {
			return nil, errors.Newf("region %s is cut off from %s", region, there)
		}
		if there == "" || there == region {
			return dialer.DialContext(ctx, network, addr)
		}
		time.Sleep(2 * n.oneWay)
		return n.dialRelay(ctx, network, addr, link{region, there})
	}
}

func (n *Network) lookup(from, addr string) (region string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	region = n.regions[addr]
	return region, n.cut[link{from, region}]
}

func (n *Network) limiter(l link) *rate.Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	limiter := n.links[l]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(n.bytesPerSecond), max(pieceBytes, n.bytesPerSecond/100))
		n.links[l] = limiter
	}
	return limiter
}

func (n *Network) dialRelay(ctx context.Context, network, addr string, there link) (net.Conn, error) {
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	near, relay, err := n.pair(ctx)
	if err != nil {
		_ = far.Close()
		return nil, err
	}
	back := link{there.to, there.from}
	var directions sync.WaitGroup
	directions.Go(func() { n.carry(far, relay, n.limiter(there)) })
	directions.Go(func() { n.carry(relay, far, n.limiter(back)) })
	go func() {
		directions.Wait()
		_ = far.Close()
		_ = relay.Close()
	}()
	return near, nil
}

// pair returns the two ends of a loopback connection.
func (n *Network) pair(ctx context.Context) (near, relay net.Conn, err error) {
	n.pairing.Lock()
	defer n.pairing.Unlock()
	var dialer net.Dialer
	near, err = dialer.DialContext(ctx, "tcp", n.listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	relay, err = n.listener.Accept()
	if err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, relay, nil
}

// piece is data that is due at a time.
type piece struct {
	data []byte
	due  time.Time
}

// carry copies from src to dst with the latency and the rate of the link, and
// passes the end of the stream on.
func (n *Network) carry(dst, src net.Conn, limiter *rate.Limiter) {
	line := make(chan piece, linePieces)
	go func() {
		defer close(line)
		for {
			buf := make([]byte, pieceBytes)
			size, err := src.Read(buf)
			if size > 0 {
				_ = limiter.WaitN(context.Background(), size) // size is at most the burst
				line <- piece{data: buf[:size], due: time.Now().Add(n.oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range line {
		if broken {
			continue
		}
		time.Sleep(time.Until(p.due))
		if _, err := dst.Write(p.data); err != nil {
			broken = true
			_ = src.Close()
		}
	}
	if half, ok := dst.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
