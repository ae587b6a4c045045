package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestConnectingEndsWithContext connects to hosts that accept a connection and stay silent:
// the call must end with its context, in the TLS handshake as well as in the hello.
func TestConnectingEndsWithContext(t *testing.T) {
	identities := map[string]*Identity{"hello": nil, "TLS": identity(t, newAuthority(t))}
	for name, id := range identities {
		silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts; nobody responds
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
		pool := NewClientPool(id, nil)
		defer pool.Close()
		for _, end := range []func(context.Context) (context.Context, context.CancelFunc){
			func(ctx context.Context) (context.Context, context.CancelFunc) {
				return context.WithTimeout(ctx, 50*time.Millisecond)
			},
			func(ctx context.Context) (context.Context, context.CancelFunc) {
				ctx, cancel := context.WithCancel(ctx)
				time.AfterFunc(50*time.Millisecond, cancel)
				return ctx, cancel
			},
		} {
			ctx, cancel := end(t.Context())
			started := time.Now()
			text := "a"
			err = pool.Call(ctx, silent.Addr().String(), "Echo.Say", &text, &text)
			took := time.Since(started)
			cancel()
			if err == nil || took > helloTimeout/2 {
				t.Errorf("%s: %v after %v", name, err, took)
			}
			if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
				t.Errorf("%s: %v, want the context's error", name, err)
			}
		}
	}
}

// TestShortCallsOpenSlowConnection: calls that each end before the connection is open must
// not keep it from being opened.
func TestShortCallsOpenSlowConnection(t *testing.T) {
	const openTime, callTime = 300 * time.Millisecond, 50 * time.Millisecond
	server, _ := startServer(t, nil)
	pool := NewClientPool(nil, func(ctx context.Context, network, addr string) (net.Conn, error) {
		select {
		case <-time.After(openTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	})
	defer pool.Close()
	deadline := time.Now().Add(10 * time.Second)
	for {
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		text, reply := "a", ""
		err := pool.Call(ctx, server.Addr(), "Echo.Say", &text, &reply)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no call succeeded in %v: %v", 10*time.Second, err)
		}
		time.Sleep(callTime)
	}
}

// TestCallAfterIdleTimeSucceeds makes a call after a time in which the server has closed the
// connection as idle: it must not fail for that, and must use a new connection.
func TestCallAfterIdleTimeSucceeds(t *testing.T) {
	server, service := startServer(t, nil)
	pool := NewClientPool(nil, nil)
	defer pool.Close()
	if _, err := callSay(t, pool, server.Addr(), "a"); err != nil {
		t.Fatal(err)
	}
	pool.mu.Lock()
	pool.conns[server.Addr()].lastUsed = time.Now().Add(-idleTimeout)
	pool.mu.Unlock()
	server.mu.Lock()
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.mu.Unlock()
	if reply, err := callSay(t, pool, server.Addr(), "b"); err != nil || reply != "b" {
		t.Errorf("%q, %v", reply, err)
	}
	if n := service.calls.Load(); n != 2 {
		t.Errorf("%d calls ran, want 2", n)
	}
}

// TestCallInFlightKeepsConnection: a connection on which a call has been in flight for longer
// than the idle time must not be closed by the next call.
func TestCallInFlightKeepsConnection(t *testing.T) {
	server, service := startServer(t, nil)
	pool := NewClientPool(nil, nil)
	defer pool.Close()
	text, result := "a", make(chan error, 1)
	go func() {
		var reply string
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		result <- pool.Call(ctx, server.Addr(), "Echo.Wait", &text, &reply)
	}()
	for service.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	pool.mu.Lock()
	pool.conns[server.Addr()].lastUsed = time.Now().Add(-idleTimeout)
	pool.mu.Unlock()
	if _, err := callSay(t, pool, server.Addr(), "b"); err != nil {
		t.Error(err)
	}
	close(service.release)
	if err := <-result; err != nil {
		t.Errorf("call in flight: %v", err)
	}
}
