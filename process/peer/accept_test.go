package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
)

// failingListener fails its first accepts, as with no descriptors left.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// TestAcceptGoesOnAfterErrors: a host that once had no descriptor for a connection took no more connections of other
// hosts.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	s, _ := startServer(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l}
	failing.failures.Store(3)
	go s.accept(failing)
	t.Cleanup(func() { _ = l.Close() })
	pool := NewClientPool(nil, nil)
	defer pool.Close()
	if got, err := callSay(t, pool, l.Addr().String(), "text"); err != nil || got == "" {
		t.Errorf("%q, %v", got, err)
	}
}
