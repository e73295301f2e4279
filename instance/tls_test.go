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

func TestListenersSpeakTLS(t *testing.T) {
	store := httptest.NewServer(standplatform.NewServer(site.Secrets.Platform).Handler())
	defer store.Close()
	a, files := issue(t)
	o := options(store.URL)
	o.TLS = option.TLS{Certificate: files.Certificate, Key: files.Key}
	o.AdminTLS = o.TLS
	i := &instance.Instance{Options: o, Tokens: site.Secrets}
	if err := i.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()

	operator, err := admin.NewClient(site.Secrets.Admin, files.Authority)
	if err != nil {
		t.Fatal(err)
	}
	var events []event.Event
	if err := operator.Get(t.Context(), i.AdminAddress(), "/events", &events); err != nil {
		t.Errorf("unexpected error of the admin listener: %v", err)
	}
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		transport := &http.Transport{
			TLSClientConfig:   &tls.Config{RootCAs: a.Pool()},
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

// issue makes an authority and a certificate of it.
func issue(t *testing.T) (*authority.Authority, authority.Files) {
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

// TestOnlyInstancesOfTheAuthorityBecomePeers starts two instances with certificates of one authority and a third with
// one of another.
func TestOnlyInstancesOfTheAuthorityBecomePeers(t *testing.T) {
	store := httptest.NewServer(standplatform.NewServer(site.Secrets.Platform).Handler())
	defer store.Close()
	_, ours := issue(t)
	_, theirs := issue(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ctx, stop := context.WithCancel(t.Context())
	started := make([]*instance.Instance, 0, 3)
	ended := make(chan error, cap(started))
	for n, files := range []authority.Files{ours, ours, theirs} {
		o := options(store.URL)
		o.Name = fmt.Sprintf("i%d", n)
		o.PeerTLS = option.PeerTLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
		i := &instance.Instance{Options: o, Tokens: site.Secrets}
		if err := i.Open(ctx); err != nil {
			t.Fatal(err)
		}
		started = append(started, i)
		go func() { ended <- i.Run(ctx) }()
	}
	members := func(i *instance.Instance) map[string]int { return getHealth(t, client, i.AdminAddress()).Members }
	// Each reads of the others in the platform's list, and finds out by probes which of them are peers.
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
