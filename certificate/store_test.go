package certificate

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/peer"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// files are the paths of one certificate.
type files struct{ chain, key, authority string }

// write issues a certificate for 127.0.0.1 into a directory.
func (a *authority) write(t *testing.T, dir string, serial int64) files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := files{filepath.Join(dir, "chain.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem")}
	writeFile(t, f.chain, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, f.key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}))
	writeFile(t, f.authority, a.pem)
	return f
}

func writeFile(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// store loads a store whose events are collected.
func store(t *testing.T, f files, withAuthority bool) (*Store, *[]event.Code) {
	t.Helper()
	var codes []event.Code
	s := &Store{CertificateFile: f.chain, KeyFile: f.key, Record: func(e event.Event) { codes = append(codes, e.Code) }}
	if withAuthority {
		s.AuthorityFile = f.authority
	}
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	return s, &codes
}

// handshake connects once and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	answered := make(chan error, 1)
	go func() { answered <- tls.Server(theirs, server).Handshake() }()
	conn := tls.Client(ours, client)
	if err := conn.Handshake(); err != nil {
		return 0, err
	}
	serial := conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	return serial, <-answered
}

func TestNewCertificateIsUsedWithoutRestart(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	s, codes := store(t, a.write(t, dir, 2), false)
	server := s.Server()
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	client := &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
	steps := []struct {
		name   string
		change func()
		serial int64
		codes  int
	}{
		{"first", func() {}, 2, 0},
		{"unchanged", s.poll, 2, 0},
		{"new pair", func() { a.write(t, dir, 3); s.poll() }, 3, 1},
		{"bad pair", func() { writeFile(t, s.KeyFile, []byte("x")); s.poll() }, 3, 2},
		{"same bad pair", s.poll, 3, 2},
		{"file gone", func() { _ = os.Remove(s.CertificateFile); s.poll() }, 3, 3},
		{"good again", func() { a.write(t, dir, 4); s.poll() }, 4, 4},
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

func TestLoadRefusesBadFiles(t *testing.T) {
	f := newAuthority(t).write(t, t.TempDir(), 2)
	tests := map[string]*Store{
		"missing":       {CertificateFile: f.chain + "x", KeyFile: f.key},
		"no key":        {CertificateFile: f.chain, KeyFile: f.chain},
		"bad authority": {CertificateFile: f.chain, KeyFile: f.key, AuthorityFile: f.key},
	}
	for name, s := range tests {
		if err := s.Load(); err == nil {
			t.Errorf("%s: unexpected success", name)
		}
	}
}

// echo is a receiver for calls between instances.
type echo struct{}

// Repeat answers with its argument.
func (echo) Repeat(text string, reply *string) error {
	*reply = text
	return nil
}

func TestInstancesCallEachOtherByMutualTLS(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	server, _ := store(t, fleet.write(t, t.TempDir(), 2), true)
	ours, _ := store(t, fleet.write(t, t.TempDir(), 3), true)
	theirs, _ := store(t, stranger.write(t, t.TempDir(), 4), true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(listener, "secret")
	s.TLS = server.Server()
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
		{"fleet", ours.Client, "secret", true},
		{"wrong token", ours.Client, "guess", false},
		{"other authority", theirs.Client, "secret", false},
		{"plain", nil, "secret", false},
		{"no certificate", func(host string) *tls.Config {
			c := ours.Client(host)
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
			t.Errorf("%s: unexpected answer %q, error %v", test.name, reply, err)
		}
		pool.Close()
	}
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("unexpected end of the server: %v", err)
	}
}
