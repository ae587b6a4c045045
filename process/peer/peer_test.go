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

// echoService is an RPC service that counts its calls.
type echoService struct {
	calls, running, maxRunning atomic.Int64
	release                    chan struct{}
}

// Say replies with the text of the call.
func (e *echoService) Say(text *string, reply *string) error {
	e.calls.Add(1)
	*reply = *text
	return nil
}

// Wait blocks until the test closes release.
func (e *echoService) Wait(_ *string, _ *string) error {
	running := e.running.Add(1)
	defer e.running.Add(-1)
	for most := e.maxRunning.Load(); running > most && !e.maxRunning.CompareAndSwap(most, running); most = e.maxRunning.Load() {
	}
	<-e.release
	return nil
}

func startServer(t *testing.T, id *Identity) (*Server, *echoService) {
	t.Helper()
	s := NewServer(id)
	e := &echoService{release: make(chan struct{})}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, e
}

func callSay(t *testing.T, c *ClientPool, addr, text string) (string, error) {
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

func TestUntrustedClientIsRejected(t *testing.T) {
	ownCA, otherCA := newAuthority(t), newAuthority(t)
	s, e := startServer(t, identity(t, ownCA))
	member := NewClientPool(identity(t, ownCA), nil)
	defer member.Close()
	if got, err := callSay(t, member, s.Addr(), "hello"); err != nil || got != "hello" {
		t.Fatalf("a member: got %q, %v", got, err)
	}
	for name, id := range map[string]*Identity{"other CA": identity(t, otherCA), "no TLS": nil} {
		untrusted := NewClientPool(id, nil)
		if _, err := callSay(t, untrusted, s.Addr(), "hello"); err == nil {
			t.Errorf("%s: the call succeeded", name)
		}
		untrusted.Close()
	}
	if n := e.calls.Load(); n != 1 {
		t.Fatalf("the service ran %d calls, want 1", n)
	}
}

func TestClientRejectsUntrustedServer(t *testing.T) {
	s, e := startServer(t, identity(t, newAuthority(t)))
	c := NewClientPool(identity(t, newAuthority(t)), nil)
	defer c.Close()
	if _, err := callSay(t, c, s.Addr(), "secret"); err == nil || e.calls.Load() != 0 {
		t.Fatalf("err = %v, calls = %d", err, e.calls.Load())
	}
}

// A new CA and certificate must take effect without a restart. A damaged file must
// leave the files that were read before in use.
func TestIdentityIsReloaded(t *testing.T) {
	firstCA, secondCA := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	firstCA.issue(t, dir)
	id := loadFrom(t, dir)
	forceReload := func() {
		id.mu.Lock()
		defer id.mu.Unlock()
		id.checkedAt = time.Time{}
		id.modTimes = [3]time.Time{}
	}
	s, _ := startServer(t, id)
	secondClient := NewClientPool(identity(t, secondCA), nil)
	defer secondClient.Close()
	if _, err := callSay(t, secondClient, s.Addr(), "early"); err == nil {
		t.Fatal("the second CA was accepted before its file was written")
	}
	secondCA.issue(t, dir)
	forceReload()
	afterReload := NewClientPool(identity(t, secondCA), nil)
	defer afterReload.Close()
	if _, err := callSay(t, afterReload, s.Addr(), "hello"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	forceReload()
	afterDamage := NewClientPool(identity(t, secondCA), nil)
	defer afterDamage.Close()
	if _, err := callSay(t, afterDamage, s.Addr(), "hello"); err != nil || id.LastError() == nil {
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
			_, _ = exchangeHellos(&unreadableConn{b}, tc.other)
		}()
		got, err := exchangeHellos(a, tc.own)
		if got != tc.want || (err == nil) != (tc.want > 0) {
			t.Errorf("%v with %v: got %d, %v; want %d", tc.own, tc.other, got, err, tc.want)
		}
		_ = a.Close()
	}
}

// unreadableConn fails reads at once: net.Pipe has no buffer, and the test has already
// read the other end's hello.
type unreadableConn struct{ net.Conn }

func (w *unreadableConn) Read(p []byte) (int, error) { return 0, errors.New("already read") }

func TestCallsInFlightAreBounded(t *testing.T) {
	s, e := startServer(t, nil)
	c := NewClientPool(nil, nil)
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
	if most := e.maxRunning.Load(); most != clientInFlight {
		t.Fatalf("%d calls ran concurrently, want %d", most, clientInFlight)
	}
}

func TestOversizedMessageEndsTheConnection(t *testing.T) {
	s, e := startServer(t, nil)
	c := NewClientPool(nil, nil)
	defer c.Close()
	if _, err := callSay(t, c, s.Addr(), strings.Repeat("x", MaxMessageBytes+1)); err == nil || e.calls.Load() != 0 {
		t.Fatalf("err = %v, calls = %d", err, e.calls.Load())
	}
	if got, err := callSay(t, c, s.Addr(), "after"); err != nil || got != "after" {
		t.Fatalf("the next call: got %q, %v", got, err)
	}
}

func TestBackoffAfterFailedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	c := NewClientPool(nil, nil)
	defer c.Close()
	if _, err := callSay(t, c, addr, "x"); err == nil || errors.Is(err, ErrBackoff) {
		t.Fatalf("first call: %v", err)
	}
	pc, err := c.connFor(addr)
	if err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	pc.retryAt = time.Now().Add(time.Hour)
	c.mu.Unlock()
	if _, err := callSay(t, c, addr, "x"); !errors.Is(err, ErrBackoff) {
		t.Fatalf("second call: %v", err)
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	s, e := startServer(t, nil)
	defer close(e.release)
	c := NewClientPool(nil, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var text, reply string
	if err := c.Call(ctx, s.Addr(), "Echo.Wait", &text, &reply); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
}
