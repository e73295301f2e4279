package instance_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"teaselgate/admin"
	"teaselgate/event"
	"teaselgate/instance"
	"teaselgate/option"
	standplatform "teaselgate/standin/platform"
	"teaselgate/standin/site"
)

// writeCertificate writes a certificate for 127.0.0.1 with its key.
func writeCertificate(t *testing.T) option.TLS {
	t.Helper()
	lender := httptest.NewTLSServer(nil)
	defer lender.Close()
	pair := lender.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	files := option.TLS{Certificate: filepath.Join(t.TempDir(), "chain.pem"), Key: filepath.Join(t.TempDir(), "key.pem")}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: pair.Certificate[0]},
		files.Key:         {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func TestListenersSpeakTLS(t *testing.T) {
	store := httptest.NewServer(standplatform.NewServer(site.Tokens.Platform).Handler())
	defer store.Close()
	o := option.Default()
	o.Name, o.Zone, o.Platform = "i1", "ala-a", store.URL
	o.Listen, o.Admin, o.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	o.TLS = writeCertificate(t)
	o.AdminTLS = o.TLS
	i := &instance.Instance{Options: o, Tokens: site.Tokens}
	if err := i.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()

	operator, err := admin.NewClient(site.Tokens.Admin, o.TLS.Certificate)
	if err != nil {
		t.Fatal(err)
	}
	var events []event.Event
	if err := operator.Get(t.Context(), i.AdminAddress(), "/events", &events); err != nil {
		t.Errorf("unexpected error of the admin listener: %v", err)
	}
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		transport := &http.Transport{
			TLSClientConfig:   &tls.Config{RootCAs: rootsOf(t, o.TLS.Certificate)},
			ForceAttemptHTTP2: protocol == "HTTP/2.0",
		}
		resp, err := (&http.Client{Transport: transport}).Get("https://" + i.Address() + "/nothing")
		if err != nil {
			t.Errorf("unexpected error of the callers' listener: %v", err)
			continue
		}
		resp.Body.Close()
		if resp.Proto != protocol || resp.Header.Get("Teaselgate-Outcome") != "not-run" {
			t.Errorf("unexpected answer, got %s %v instead of %s", resp.Proto, resp.Header, protocol)
		}
		transport.CloseIdleConnections()
	}
	if a := call(http.DefaultClient, http.MethodGet, "http://"+i.Address()+"/nothing", "", nil); a.status != http.StatusBadRequest {
		t.Errorf("unexpected answer to a plain request, got %d", a.status)
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("unexpected error %v", err)
	}
}

func rootsOf(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	return roots
}
