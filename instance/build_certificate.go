package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/certificate"
	"teaselgate/option"
)

// buildCertificates loads the certificates that the settings name and follows their files.
func (i *Instance) buildCertificates(supervisor *suture.Supervisor) error {
	var err error
	if i.callerTLS, err = i.followPair(supervisor, i.Options.TLS); err != nil {
		return err
	}
	if i.adminTLS, err = i.followPair(supervisor, i.Options.AdminTLS); err != nil {
		return err
	}
	if !i.Options.PeerTLS.Enabled() {
		return nil
	}
	peers, err := i.follow(supervisor, &certificate.Store{
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

func (i *Instance) followPair(supervisor *suture.Supervisor, t option.TLS) (*certificate.Store, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return i.follow(supervisor, &certificate.Store{CertificateFile: t.Certificate, KeyFile: t.Key})
}

func (i *Instance) follow(supervisor *suture.Supervisor, store *certificate.Store) (*certificate.Store, error) {
	store.Record = i.events.Record
	if err := store.Load(); err != nil {
		return nil, err
	}
	supervisor.Add(store)
	return store, nil
}
