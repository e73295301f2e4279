package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/certificate"
	"teaselgate/option"
)

// buildCertificates loads the certificates that the settings name, and reloads them when their files change.
func (i *Instance) buildCertificates(supervisor *suture.Supervisor) error {
	var err error
	if i.callerTLS, err = i.loadCertificate(supervisor, i.Options.TLS); err != nil {
		return err
	}
	if i.adminTLS, err = i.loadCertificate(supervisor, i.Options.AdminTLS); err != nil {
		return err
	}
	if !i.Options.PeerTLS.Enabled() {
		return nil
	}
	peers, err := i.addCertificate(supervisor, &certificate.Store{
		CertificateFile: i.Options.PeerTLS.Certificate,
		KeyFile:         i.Options.PeerTLS.Key,
		AuthorityFile:   i.Options.PeerTLS.Authority,
	})
	if err != nil {
		return err
	}
	i.peers.TLS, i.peerServer.TLS = peers.ClientConfig, peers.ServerConfig()
	return nil
}

// loadCertificate loads the certificate of a listener, and reloads it when its files change. It returns nil if the
// listener is without TLS.
func (i *Instance) loadCertificate(supervisor *suture.Supervisor, files option.TLS) (*certificate.Store, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return i.addCertificate(supervisor, &certificate.Store{CertificateFile: files.Certificate, KeyFile: files.Key})
}

// addCertificate loads a certificate store and adds it to the supervisor, under which it reloads changed files.
func (i *Instance) addCertificate(supervisor *suture.Supervisor, store *certificate.Store) (*certificate.Store, error) {
	store.Record = i.events.Record
	if err := store.Load(); err != nil {
		return nil, err
	}
	supervisor.Add(store)
	return store, nil
}
