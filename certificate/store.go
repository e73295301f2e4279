// Package certificate keeps the certificates of listeners equal to their files.
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

// pollInterval is how often the files are read again.
const pollInterval = 5 * time.Second

var errNoAuthority = errors.New("certificate: the authority's file holds no certificate")

// Store holds the newest good certificate of a set of files. Its exported fields are set before Load.
type Store struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string // of the other side's certificates; empty if these are not checked
	Record          func(event.Event)

	current      atomic.Pointer[keyMaterial]
	lastContents []byte // content of the files at the last try
}

// keyMaterial is what the files held.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files for the first time.
func (s *Store) Load() error {
	_, err := s.loadIfChanged()
	return err
}

// Serve rereads the files until the context ends. Bad new files leave the old certificate in use.
func (s *Store) Serve(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			s.poll()
		}
	}
}

func (s *Store) poll() {
	changed, err := s.loadIfChanged()
	switch {
	case err != nil && changed:
		s.Record(event.Event{Code: event.CertificateRejected, Detail: err.Error()})
	case err == nil && changed:
		s.Record(event.Event{Code: event.CertificateLoaded, Detail: s.CertificateFile})
	}
}

// loadIfChanged loads the files if their content changed since the last try.
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
		return true, fmt.Errorf("certificate: unable to read: %w", err)
	}
	next, err := parse(contents[0], contents[1], contents[2])
	if err != nil {
		return true, err
	}
	s.current.Store(next)
	return true, nil
}

func parse(chain, key, authority []byte) (*keyMaterial, error) {
	pair, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return nil, fmt.Errorf("certificate: unable to use the certificate and key: %w", err)
	}
	l := &keyMaterial{certificate: pair}
	if authority == nil {
		return l, nil
	}
	l.authority = x509.NewCertPool()
	if !l.authority.AppendCertsFromPEM(authority) {
		return nil, errNoAuthority
	}
	return l, nil
}

// ServerConfig returns a configuration for listeners; with an authority it demands a certificate of the other side.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{l.certificate},
			}
			if l.authority != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, l.authority
			}
			return config, nil
		},
		// Never used, but http.Server asks for one of its own before it serves.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &s.current.Load().certificate, nil },
	}
}

// ClientConfig returns a configuration for connections to a host, made anew for each.
func (s *Store) ClientConfig(host string) *tls.Config {
	l := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   host,
		Certificates: []tls.Certificate{l.certificate},
		RootCAs:      l.authority,
	}
}
