// Package certificate loads the TLS certificates of listeners and connections, and reloads them when their files
// change.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"teaselgate/event"
)

// pollInterval is the time between two checks of the files.
const pollInterval = 5 * time.Second

var errNoAuthority = errors.New("certificate: the authority file contains no certificate")

// Store holds the newest valid certificate of a set of files. Its exported fields must be set before Load.
type Store struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string // certificates of the authority that signs those of peers; empty if clients need no certificate
	Record          func(event.Event)

	current      atomic.Pointer[keyMaterial]
	lastContents []byte // contents of the files at the last attempt to load them
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil without an authority file
}

// Load reads the files for the first time.
func (s *Store) Load() error {
	_, err := s.loadIfChanged()
	return err
}

// Serve reloads changed files until the context ends. If the new files are invalid, the old certificate stays in use.
func (s *Store) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.poll()
		}
	}
}

// poll reloads the files and records an event if they have changed.
func (s *Store) poll() {
	changed, err := s.loadIfChanged()
	switch {
	case err != nil && changed:
		s.Record(event.Event{Code: event.CertificateRejected, Detail: err.Error()})
	case err == nil && changed:
		s.Record(event.Event{Code: event.CertificateLoaded, Detail: s.CertificateFile})
	}
}

// loadIfChanged loads the files if their contents have changed since the last attempt.
func (s *Store) loadIfChanged() (changed bool, err error) {
	var contents [3][]byte
	for i, file := range []string{s.CertificateFile, s.KeyFile, s.AuthorityFile} {
		if file == "" {
			continue
		}
		if contents[i], err = os.ReadFile(file); err != nil {
			contents[i] = []byte(err.Error())
			break
		}
	}
	all := bytes.Join(contents[:], []byte{0})
	if bytes.Equal(all, s.lastContents) {
		return false, nil
	}
	s.lastContents = all
	if err != nil {
		return true, fmt.Errorf("certificate: unable to read a file: %w", err)
	}
	next, err := parse(contents[0], contents[1], contents[2])
	if err != nil {
		return true, err
	}
	s.current.Store(next)
	return true, nil
}

// parse parses PEM texts. The authority is nil if there is no authority file.
func parse(chain, key, authority []byte) (*keyMaterial, error) {
	pair, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return nil, fmt.Errorf("certificate: unable to use the certificate and key: %w", err)
	}
	m := &keyMaterial{certificate: pair}
	if authority == nil {
		return m, nil
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(authority) {
		return nil, errNoAuthority
	}
	return m, nil
}

// ServerConfig returns a TLS configuration for listeners that always uses the newest certificate. With an authority
// file it requires clients to present a certificate that the authority has signed.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{m.certificate},
			}
			if m.authority != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, m.authority
			}
			return config, nil
		},
		// GetConfigForClient takes precedence, but http.Server requires a certificate in the configuration itself.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &s.current.Load().certificate, nil },
	}
}

// ClientConfig returns a TLS configuration for one connection to a host, with the newest certificate.
func (s *Store) ClientConfig(host string) *tls.Config {
	m := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   host,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}
}
