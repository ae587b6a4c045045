package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = 5 * time.Second

// Identity holds a host's certificate and the CA that verifies other hosts. The files
// are reloaded when they change. It is safe for concurrent use.
type Identity struct {
	cert, key, ca string

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	keyPair   *tls.Certificate
	roots     *x509.CertPool
	lastErr   error
}

// LoadIdentity reads the PEM files of a certificate, its key and the CA.
func LoadIdentity(cert, key, ca string) (*Identity, error) {
	id := &Identity{cert: cert, key: key, ca: ca}
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

// LastError returns the error of the last reload, or nil. After a failed reload the
// files that were read before stay in use.
func (id *Identity) LastError() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.lastErr
}

// current returns the certificate and CA. It reloads them if a file has changed.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool) {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.checkedAt) >= reloadInterval {
		id.lastErr = id.load()
	}
	return id.keyPair, id.roots
}

func (id *Identity) load() error {
	id.checkedAt = time.Now()
	modTimes, err := id.readModTimes()
	if err != nil {
		return err
	}
	if id.keyPair != nil && modTimes == id.modTimes {
		return id.lastErr
	}
	keyPair, err := tls.LoadX509KeyPair(id.cert, id.key)
	if err != nil {
		return errors.Wrapf(err, "load peer certificate %s", id.cert)
	}
	pem, err := os.ReadFile(id.ca)
	if err != nil {
		return errors.Wrap(err, "read peer CA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("peer CA file %s contains no PEM certificate", id.ca)
	}
	id.keyPair, id.roots, id.modTimes = &keyPair, roots, modTimes
	return nil
}

func (id *Identity) readModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, file := range []string{id.cert, id.key, id.ca} {
		info, err := os.Stat(file)
		if err != nil {
			return modTimes, errors.Wrap(err, "check peer identity files")
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// verify accepts a connection whose other end has a certificate signed by the CA. Hosts
// are addressed by IP address, so no name is verified.
func (id *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
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
			keyPair, _ := id.current()
			return keyPair, nil
		},
	}
}

func (id *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead; hosts have no names
		VerifyConnection:   id.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			keyPair, _ := id.current()
			return keyPair, nil
		},
	}
}
