package entry

import (
	"context"
	"io"
	"log"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle and keepAliveInterval and keepAliveCount find connections that
	// have gone silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent bytes may stay without an acknowledgement.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 0x12
)

// quiet drops what net/http would print of callers' broken connections.
var quiet = log.New(io.Discard, "", 0)

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without the option a silent connection is found by keep-alive alone.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
		})
	},
}

// dial opens a connection that notices when the other end falls silent.
func (h *Host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, addr)
}

// dialTarget opens a connection to a target and notes how long that took.
func (h *Host) dialTarget(ctx context.Context, network, addr string) (net.Conn, error) {
	start := time.Now()
	conn, err := dialer.DialContext(ctx, network, addr)
	if err == nil {
		h.fleet.Dialed(addr, time.Since(start))
		h.metrics.Counter("targets.connections").Add(1)
	}
	return conn, err
}
