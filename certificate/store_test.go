package certificate

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"

	"teaselgate/event"
	"teaselgate/peer"
	"teaselgate/standin/authority"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue writes a new certificate with its key and authority into a directory.
func issue(t *testing.T, a *authority.Authority, dir string, serial int64) authority.Files {
	t.Helper()
	files, err := a.Issue(dir, serial)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func writeFile(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// loadStore returns a loaded store and the codes of the events that it records.
func loadStore(t *testing.T, f authority.Files, withAuthority bool) (*Store, *[]event.Code) {
	t.Helper()
	var codes []event.Code
	s := &Store{CertificateFile: f.Certificate, KeyFile: f.Key, Record: func(e event.Event) { codes = append(codes, e.Code) }}
	if withAuthority {
		s.AuthorityFile = f.Authority
	}
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	return s, &codes
}

// handshake connects once and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	serverResult := make(chan error, 1)
	go func() { serverResult <- tls.Server(serverConn, server).Handshake() }()
	conn := tls.Client(clientConn, client)
	if err := conn.Handshake(); err != nil {
		return 0, err
	}
	serial := conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	return serial, <-serverResult
}

func TestNewCertificateIsUsedWithoutRestart(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	s, codes := loadStore(t, issue(t, a, dir, 2), false)
	server := s.ServerConfig()
	client := &tls.Config{RootCAs: a.Pool(), ServerName: "127.0.0.1"}
	steps := []struct {
		name   string
		change func()
		serial int64
		codes  int
	}{
		{"first pair", func() {}, 2, 0},
		{"unchanged", s.poll, 2, 0},
		{"new pair", func() { issue(t, a, dir, 3); s.poll() }, 3, 1},
		{"invalid pair", func() { writeFile(t, s.KeyFile, []byte("x")); s.poll() }, 3, 2},
		{"same invalid pair", s.poll, 3, 2},
		{"file removed", func() { _ = os.Remove(s.CertificateFile); s.poll() }, 3, 3},
		{"valid pair again", func() { issue(t, a, dir, 4); s.poll() }, 4, 4},
	}
	for _, step := range steps {
		step.change()
		serial, err := handshake(t, server, client)
		if err != nil || serial != step.serial || len(*codes) != step.codes {
			t.Errorf("%s: unexpected certificate %d, events %v, error %v instead of %d and %d events",
				step.name, serial, *codes, err, step.serial, step.codes)
		}
	}
	want := []event.Code{event.CertificateLoaded, event.CertificateRejected, event.CertificateRejected, event.CertificateLoaded}
	for i, code := range *codes {
		if code != want[i] {
			t.Errorf("unexpected event %d, got %v instead of %v", i, code, want[i])
		}
	}
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	f := issue(t, newAuthority(t), t.TempDir(), 2)
	tests := map[string]*Store{
		"missing":           {CertificateFile: f.Certificate + "x", KeyFile: f.Key},
		"no key":            {CertificateFile: f.Certificate, KeyFile: f.Certificate},
		"invalid authority": {CertificateFile: f.Certificate, KeyFile: f.Key, AuthorityFile: f.Key},
	}
	for name, s := range tests {
		if err := s.Load(); err == nil {
			t.Errorf("%s: unexpected success", name)
		}
	}
}

// echo is an RPC receiver.
type echo struct{}

// Repeat replies with its argument.
func (echo) Repeat(text string, reply *string) error {
	*reply = text
	return nil
}

func TestPeerCallsRequireMutualTLS(t *testing.T) {
	fleetAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	server, _ := loadStore(t, issue(t, fleetAuthority, t.TempDir(), 2), true)
	fleetClient, _ := loadStore(t, issue(t, fleetAuthority, t.TempDir(), 3), true)
	otherClient, _ := loadStore(t, issue(t, otherAuthority, t.TempDir(), 4), true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(listener, "secret")
	s.TLS = server.ServerConfig()
	if err := s.Register("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	tests := []struct {
		name  string
		tls   func(string) *tls.Config
		token string
		ok    bool
	}{
		{"same authority", fleetClient.ClientConfig, "secret", true},
		{"wrong token", fleetClient.ClientConfig, "guess", false},
		{"other authority", otherClient.ClientConfig, "secret", false},
		{"without TLS", nil, "secret", false},
		{"no certificate", func(host string) *tls.Config {
			c := fleetClient.ClientConfig(host)
			c.Certificates = nil
			return c
		}, "secret", false},
	}
	for _, test := range tests {
		pool := peer.NewPool(test.token)
		pool.TLS = test.tls
		var reply string
		err := pool.Call(ctx, listener.Addr().String(), "Echo.Repeat", "hello", &reply)
		if test.ok && (err != nil || reply != "hello") || !test.ok && !errors.Is(err, peer.ErrUnreachable) {
			t.Errorf("%s: unexpected reply %q, error %v", test.name, reply, err)
		}
		pool.Close()
	}
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("unexpected error of Serve: %v", err)
	}
}
