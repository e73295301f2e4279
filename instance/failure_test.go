package instance_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"teaselgate/instance"
	"teaselgate/option"
	standplatform "teaselgate/standin/platform"
	"teaselgate/standin/site"
)

func newOptions(platformURL string) *option.Options {
	o := option.Default()
	o.Name, o.Zone, o.Platform = "i1", "ala-a", platformURL
	o.Listen, o.Admin, o.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	return o
}

func TestFailedStartReleasesListenersAndGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	o := newOptions("http://127.0.0.1:1")
	o.TLS = option.TLS{Certificate: "missing.pem", Key: "missing.pem"}
	i := &instance.Instance{Options: o, Secrets: site.Secrets}
	if err := i.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := i.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "certificate: unable to read") {
		t.Errorf("unexpected error of an instance without its certificate file: %v", err)
	}
	listener, err := net.Listen("tcp", i.Address())
	if err != nil {
		t.Fatalf("unexpected listener left open after the failed start: %v", err)
	}
	listener.Close()
}

func TestInstanceStopsWhenListenerFails(t *testing.T) {
	store := httptest.NewServer(standplatform.NewServer(site.Secrets.Platform).Handler())
	defer store.Close()
	i := &instance.Instance{Options: newOptions(store.URL), Secrets: site.Secrets}
	if err := i.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- i.Run(t.Context()) }()
	poll(t, func() bool {
		return sendRequest(http.DefaultClient, http.MethodGet, "http://"+i.AdminAddress()+"/ready", "", nil).err == nil
	})
	i.CloseCallerListener()
	if err := <-ended; err == nil || !strings.Contains(err.Error(), "a listener failed") {
		t.Errorf("unexpected error of an instance whose listener failed: %v", err)
	}
}
