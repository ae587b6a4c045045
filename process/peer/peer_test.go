package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// echo is a service that counts its calls.
type echo struct {
	calls, running, most atomic.Int64
	release              chan struct{}
}

// Say returns the text that it was given.
func (e *echo) Say(text *string, reply *string) error {
	e.calls.Add(1)
	*reply = *text
	return nil
}

// Wait returns when the test releases it.
func (e *echo) Wait(_ *string, _ *string) error {
	now := e.running.Add(1)
	defer e.running.Add(-1)
	for most := e.most.Load(); now > most && !e.most.CompareAndSwap(most, now); most = e.most.Load() {
	}
	<-e.release
	return nil
}

func startServer(t *testing.T, id *Identity) (*Server, *echo) {
	t.Helper()
	s := NewServer(id)
	e := &echo{release: make(chan struct{})}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, e
}

func say(t *testing.T, c *Clients, addr, text string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var reply string
	err := c.Call(ctx, addr, "Echo.Say", &text, &reply)
	return reply, err
}

// authority signs certificates of test hosts.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key}
}

// issue writes a certificate, its key and the CA into dir.
func (a *authority) issue(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", der)
	writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER)
	writePEM(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw)
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func loadFrom(t *testing.T, dir string) *Identity {
	t.Helper()
	id, err := LoadIdentity(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func identity(t *testing.T, a *authority) *Identity {
	t.Helper()
	dir := t.TempDir()
	a.issue(t, dir)
	return loadFrom(t, dir)
}

func TestStrangerGetsNothingIn(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	s, e := startServer(t, identity(t, own))
	member := NewClients(identity(t, own), nil)
	defer member.Close()
	if got, err := say(t, member, s.Addr(), "hello"); err != nil || got != "hello" {
		t.Fatalf("a member: got %q, %v", got, err)
	}
	for name, id := range map[string]*Identity{"other CA": identity(t, foreign), "no TLS": nil} {
		stranger := NewClients(id, nil)
		if _, err := say(t, stranger, s.Addr(), "hello"); err == nil {
			t.Errorf("%s: the call was answered", name)
		}
		stranger.Close()
	}
	if n := e.calls.Load(); n != 1 {
		t.Fatalf("the service ran %d calls, want 1", n)
	}
}

func TestClientRefusesStrangeServer(t *testing.T) {
	s, e := startServer(t, identity(t, newAuthority(t)))
	c := NewClients(identity(t, newAuthority(t)), nil)
	defer c.Close()
	if _, err := say(t, c, s.Addr(), "secret"); err == nil || e.calls.Load() != 0 {
		t.Fatalf("err = %v, calls = %d", err, e.calls.Load())
	}
}

// A new CA and certificate take effect without a restart; a damaged file does not.
func TestIdentityIsReloaded(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	first.issue(t, dir)
	id := loadFrom(t, dir)
	reload := func() {
		id.mu.Lock()
		defer id.mu.Unlock()
		id.looked = time.Time{}
		id.stamps = [3]time.Time{}
	}
	s, _ := startServer(t, id)
	late := NewClients(identity(t, second), nil)
	defer late.Close()
	if _, err := say(t, late, s.Addr(), "early"); err == nil {
		t.Fatal("the second CA is known before its file is there")
	}
	second.issue(t, dir)
	reload()
	fresh := NewClients(identity(t, second), nil)
	defer fresh.Close()
	if _, err := say(t, fresh, s.Addr(), "hello"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	reload()
	again := NewClients(identity(t, second), nil)
	defer again.Close()
	if _, err := say(t, again, s.Addr(), "hello"); err != nil || id.LastError() == nil {
		t.Fatalf("with a damaged file: err = %v, last error = %v", err, id.LastError())
	}
}

func TestProtocolVersions(t *testing.T) {
	for _, tc := range []struct {
		own, other hello
		want       uint16
	}{
		{hello{helloMagic, 1, 1}, hello{helloMagic, 1, 2}, 1},
		{hello{helloMagic, 1, 3}, hello{helloMagic, 2, 2}, 2},
		{hello{helloMagic, 1, 1}, hello{helloMagic, 2, 3}, 0},
		{hello{helloMagic, 1, 1}, hello{7, 1, 1}, 0},
	} {
		a, b := net.Pipe()
		go func() {
			var buf [8]byte
			_, _ = b.Read(buf[:])
			_, _ = greet(&writeFirst{b}, tc.other)
		}()
		got, err := greet(a, tc.own)
		if got != tc.want || (err == nil) != (tc.want > 0) {
			t.Errorf("%v with %v: got %d, %v; want %d", tc.own, tc.other, got, err, tc.want)
		}
		_ = a.Close()
	}
}

// writeFirst answers reads at once, since net.Pipe has no buffer and the test
// has read the other end's hello already.
type writeFirst struct{ net.Conn }

func (w *writeFirst) Read(p []byte) (int, error) { return 0, errors.New("read already") }

func TestCallsInFlightAreBounded(t *testing.T) {
	s, e := startServer(t, nil)
	c := NewClients(nil, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	done := make(chan error)
	const calls = 3 * clientInFlight
	for range calls {
		go func() {
			var text, reply string
			done <- c.Call(ctx, s.Addr(), "Echo.Wait", &text, &reply)
		}()
	}
	for e.running.Load() < clientInFlight && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	close(e.release)
	for range calls {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if most := e.most.Load(); most != clientInFlight {
		t.Fatalf("%d calls ran at once, want %d", most, clientInFlight)
	}
}

func TestOversizedMessageEndsTheConnection(t *testing.T) {
	s, e := startServer(t, nil)
	c := NewClients(nil, nil)
	defer c.Close()
	if _, err := say(t, c, s.Addr(), strings.Repeat("x", MaxMessageBytes+1)); err == nil || e.calls.Load() != 0 {
		t.Fatalf("err = %v, calls = %d", err, e.calls.Load())
	}
	if got, err := say(t, c, s.Addr(), "after"); err != nil || got != "after" {
		t.Fatalf("the next call: got %q, %v", got, err)
	}
}

func TestFailedConnectionIsNotTriedAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	c := NewClients(nil, nil)
	defer c.Close()
	if _, err := say(t, c, addr, "x"); err == nil || errors.Is(err, ErrBackoff) {
		t.Fatalf("first call: %v", err)
	}
	link, err := c.link(addr)
	if err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	link.retryAt = time.Now().Add(time.Hour)
	c.mu.Unlock()
	if _, err := say(t, c, addr, "x"); !errors.Is(err, ErrBackoff) {
		t.Fatalf("second call: %v", err)
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	s, e := startServer(t, nil)
	defer close(e.release)
	c := NewClients(nil, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var text, reply string
	if err := c.Call(ctx, s.Addr(), "Echo.Wait", &text, &reply); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
}
