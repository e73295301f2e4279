// Package authority is a small stand-in for the users' certificate authority.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateLifetime is the time from issue to expiry. Validity starts an hour before issue.
const certificateLifetime = 24 * time.Hour

// Authority issues certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files are the paths of the PEM files of one certificate.
type Files struct {
	Certificate string // issued certificate
	Key         string // private key
	Authority   string // certificate of the authority
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: unable to generate a key: %w", err)
	}
	template := newTemplate(1)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("authority: unable to sign a certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("authority: unable to parse its own certificate: %w", err)
	}
	return &Authority{certificate, key}, nil
}

func newTemplate(serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateLifetime),
	}
}

// Pool returns a certificate pool with only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Issue writes a certificate for 127.0.0.1, valid for servers and clients, its key and the authority's certificate to
// a directory.
func (a *Authority) Issue(dir string, serial int64) (Files, error) {
	files := Files{filepath.Join(dir, "chain.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("authority: unable to generate a key: %w", err)
	}
	template := newTemplate(serial)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, fmt.Errorf("authority: unable to sign a certificate: %w", err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("authority: unable to encode a key: %w", err)
	}
	for _, f := range []struct {
		file, blockType string
		der             []byte
	}{
		{files.Certificate, "CERTIFICATE", der},
		{files.Key, "EC PRIVATE KEY", private},
		{files.Authority, "CERTIFICATE", a.certificate.Raw},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.blockType, Bytes: f.der})
		if err := os.WriteFile(f.file, text, 0o600); err != nil {
			return files, fmt.Errorf("authority: unable to write a file: %w", err)
		}
	}
	return files, nil
}
