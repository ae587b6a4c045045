package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reloadInterval is the shortest time between two looks at the files.
const reloadInterval = 5 * time.Second

// Identity is a host's certificate and the CA by which it knows other hosts. The
// files are read again when they change. It is safe for concurrent use.
type Identity struct {
	cert, key, ca string

	mu      sync.Mutex
	looked  time.Time
	stamps  [3]time.Time
	pair    *tls.Certificate
	roots   *x509.CertPool
	lastErr error
}

// LoadIdentity reads the PEM files of a certificate, its key and the CA.
func LoadIdentity(cert, key, ca string) (*Identity, error) {
	id := &Identity{cert: cert, key: key, ca: ca}
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

// LastError returns why the last reload failed; the files read before stay in use.
func (id *Identity) LastError() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.lastErr
}

// current returns the certificate and CA, read again when a file is newer.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool) {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.looked) >= reloadInterval {
		id.lastErr = id.load()
	}
	return id.pair, id.roots
}

func (id *Identity) load() error {
	id.looked = time.Now()
	stamps, err := id.modified()
	if err != nil {
		return err
	}
	if id.pair != nil && stamps == id.stamps {
		return id.lastErr
	}
	pair, err := tls.LoadX509KeyPair(id.cert, id.key)
	if err != nil {
		return errors.Wrapf(err, "peer certificate %s", id.cert)
	}
	pem, err := os.ReadFile(id.ca)
	if err != nil {
		return errors.Wrap(err, "peer CA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("peer CA %s: no certificate in PEM form", id.ca)
	}
	id.pair, id.roots, id.stamps = &pair, roots, stamps
	return nil
}

func (id *Identity) modified() ([3]time.Time, error) {
	var stamps [3]time.Time
	for i, file := range []string{id.cert, id.key, id.ca} {
		info, err := os.Stat(file)
		if err != nil {
			return stamps, errors.Wrap(err, "peer identity")
		}
		stamps[i] = info.ModTime()
	}
	return stamps, nil
}

// verify accepts a connection whose other end has a certificate of the CA. Hosts
// are reached by IP numbers, so that no name is compared.
func (id *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	_, roots := id.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: id.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := id.current()
			return pair, nil
		},
	}
}

func (id *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain instead; hosts have no names
		VerifyConnection:   id.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := id.current()
			return pair, nil
		},
	}
}
