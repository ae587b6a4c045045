package caller

import (
	"net"
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

// TestIdleConnectionIsClosedAtOnce: a connection that was idle for too long was read on for half a second, so that a
// request which crossed the close was read and got no answer (incident 0012). It must be closed at once.
func TestIdleConnectionIsClosedAtOnce(t *testing.T) {
	s, addr := startServerWithIdle(t, newTestHandler(), drainIdleTimeout)
	c := dial(t, addr)
	c.send(get("/now/a"))
	c.expect("a")
	c.expectEnd()
	eventually(t, "the connection is closed", lingerTimeout/2, func() bool { return len(s.openConns()) == 0 })
}
