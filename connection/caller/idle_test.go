package caller

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// lateListener accepts connections whose owner gets no processor time between setting a deadline and the read.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{c.(*net.TCPConn)}, nil
}

// lateConn is a connection of a lateListener.
type lateConn struct{ *net.TCPConn }

func (c lateConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if left := time.Until(t); left > 0 && left <= drainIdleTimeout {
		time.Sleep(2 * drainIdleTimeout)
	}
	return err
}

// TestRequestThatArrivedBeforeIdleTimeout: at a stop, a request that arrived in time was read and discarded, since a busy
// host read it only after the idle time (incident 0012). It must be answered.
func TestRequestThatArrivedBeforeIdleTimeout(t *testing.T) {
	s, addr := startServerOn(t, lateListener{listen(t)}, newTestHandler(), waitLimit)
	s.Drain()
	c := dial(t, addr)
	c.send(get("/now/a"))
	if _, body, closes, err := c.receive(); body != "a" || !closes || err != nil {
		t.Errorf("response %q, closes %v, %v", body, closes, err)
	}
}

// halfCloseListener accepts connections that record whether only one direction of them was closed.
type halfCloseListener struct {
	net.Listener
	halfClosed atomic.Bool
}

func (l *halfCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return halfCloseConn{c.(*net.TCPConn), l}, nil
}

// halfCloseConn is a connection of a halfCloseListener.
type halfCloseConn struct {
	*net.TCPConn
	listener *halfCloseListener
}

func (c halfCloseConn) CloseWrite() error {
	c.listener.halfClosed.Store(true)
	return c.TCPConn.CloseWrite()
}

// TestIdleConnectionIsClosedAtOnce: a connection that was idle for too long was read on for half a second, so that a
// request which was sent meanwhile was read and got no answer (incident 0012). Both directions must be closed at once.
func TestIdleConnectionIsClosedAtOnce(t *testing.T) {
	l := &halfCloseListener{Listener: listen(t)}
	s, addr := startServerOn(t, l, newTestHandler(), drainIdleTimeout)
	c := dial(t, addr)
	c.send(get("/now/a"))
	c.expect("a")
	c.expectEnd()
	eventually(t, "the connection is closed", waitLimit, func() bool { return len(s.openConns()) == 0 })
	if l.halfClosed.Load() {
		t.Error("the connection was read on")
	}
}
