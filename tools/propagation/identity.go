package propagation

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"quetzalknot/process/peer"
)

// certificateLifetime is the time for which a generated certificate is valid.
const certificateLifetime = 24 * time.Hour

// WriteIdentity creates a CA and a certificate, and writes ca.pem, cert.pem and key.pem
// to a folder, for tests on one machine.
func WriteIdentity(dir string) error {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "quetzalknot lab CA"},
		NotAfter: time.Now().Add(certificateLifetime), IsCA: true, BasicConstraintsValid: true,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: ca.NotAfter}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	for _, file := range []struct {
		name, kind string
		der        []byte
	}{
		{"ca.pem", "CERTIFICATE", caDER},
		{"cert.pem", "CERTIFICATE", der},
		{"key.pem", "EC PRIVATE KEY", keyDER},
	} {
		data := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.der})
		if err := os.WriteFile(filepath.Join(dir, file.name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// newIdentity returns a new identity; its files are deleted after they have been loaded.
func newIdentity() (*peer.Identity, error) {
	dir, err := os.MkdirTemp("", "quetzal-identity-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := WriteIdentity(dir); err != nil {
		return nil, err
	}
	return peer.LoadIdentity(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
}
