package instance_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"teaselgate/admin"
	"teaselgate/event"
	"teaselgate/instance"
	"teaselgate/option"
	"teaselgate/standin/authority"
	standplatform "teaselgate/standin/platform"
	"teaselgate/standin/site"
)

func TestListenersServeTLS(t *testing.T) {
	store := httptest.NewServer(standplatform.NewServer(site.Secrets.Platform).Handler())
	defer store.Close()
	a, files := issueCertificate(t)
	o := newOptions(store.URL)
	o.TLS = option.TLS{Certificate: files.Certificate, Key: files.Key}
	o.AdminTLS = o.TLS
	i := &instance.Instance{Options: o, Secrets: site.Secrets}
	if err := i.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()

	adminClient, err := admin.NewClient(site.Secrets.Admin, files.Authority)
	if err != nil {
		t.Fatal(err)
	}
	var events []event.Event
	if err := adminClient.Get(t.Context(), i.AdminAddress(), "/events", &events); err != nil {
		t.Errorf("unexpected error of the admin listener: %v", err)
	}
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		transport := &http.Transport{
			TLSClientConfig:   &tls.Config{RootCAs: a.Pool()},
			ForceAttemptHTTP2: protocol == "HTTP/2.0",
		}
		resp, err := (&http.Client{Transport: transport}).Get("https://" + i.Address() + "/nothing")
		if err != nil {
			t.Errorf("unexpected error of the caller listener: %v", err)
			continue
		}
		resp.Body.Close()
		if resp.Proto != protocol || resp.Header.Get("Teaselgate-Outcome") != "not-run" {
			t.Errorf("unexpected response, got %s %v instead of %s", resp.Proto, resp.Header, protocol)
		}
		transport.CloseIdleConnections()
	}
	if resp := sendRequest(
		http.DefaultClient, http.MethodGet, "http://"+i.Address()+"/nothing", "", nil,
	); resp.status != http.StatusBadRequest {
		t.Errorf("unexpected status of a request without TLS, got %d", resp.status)
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("unexpected error %v", err)
	}
}

// issueCertificate creates a certificate authority and issues a certificate.
func issueCertificate(t *testing.T) (*authority.Authority, authority.Files) {
	t.Helper()
	a, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	files, err := a.Issue(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	return a, files
}

// TestOnlyInstancesWithSameAuthorityBecomePeers starts two instances with certificates of one authority, and a third
// with a certificate of another.
func TestOnlyInstancesWithSameAuthorityBecomePeers(t *testing.T) {
	store := httptest.NewServer(standplatform.NewServer(site.Secrets.Platform).Handler())
	defer store.Close()
	_, shared := issueCertificate(t)
	_, other := issueCertificate(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ctx, stop := context.WithCancel(t.Context())
	started := make([]*instance.Instance, 0, 3)
	ended := make(chan error, cap(started))
	for n, files := range []authority.Files{shared, shared, other} {
		o := newOptions(store.URL)
		o.Name = fmt.Sprintf("i%d", n)
		o.PeerTLS = option.PeerTLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
		i := &instance.Instance{Options: o, Secrets: site.Secrets}
		if err := i.Open(ctx); err != nil {
			t.Fatal(err)
		}
		started = append(started, i)
		go func() { ended <- i.Run(ctx) }()
	}
	members := func(i *instance.Instance) map[string]int { return fetchHealth(t, client, i.AdminAddress()).Members }
	// Each instance finds the others in the platform store, and determines by probes which of them it can reach.
	for n, want := range []int{2, 2, 1} {
		poll(t, func() bool {
			m := members(started[n])
			return m["live"] == want && m["suspect"]+m["gone"] == len(started)-want
		})
	}
	stop()
	for range started {
		if err := <-ended; err != nil {
			t.Errorf("unexpected error %v", err)
		}
	}
}
