package instance_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/config"
	"teaselgate/option"
	"teaselgate/platform"
	"teaselgate/standin/authority"
	"teaselgate/standin/service"
	"teaselgate/standin/site"
)

// Load of the stops with TLS.
const (
	tlsStops       = 6
	tlsClients     = 5 // in their handshake, and as many that wait
	longBodyBytes  = 4 << 20
	firstPartBytes = 64 // of a TLS handshake or of a long body, sent before the stop
)

// gatedConn sends the first bytes at once and the others when the gate is opened. It tells when it has sent the first.
type gatedConn struct {
	net.Conn
	left  int
	begun func()
	gate  <-chan struct{}
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	first := min(len(p), c.left)
	c.left -= first
	if n, err := c.Conn.Write(p[:first]); err != nil || first == len(p) {
		return n, err
	}
	c.begun()
	<-c.gate
	n, err := c.Conn.Write(p[first:])
	return first + n, err
}

// gatedBody is a request body whose first part is read at once and the rest when the gate is opened.
type gatedBody struct {
	sent  int
	begun func()
	gate  <-chan struct{}
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	limit := longBodyBytes
	if b.sent < firstPartBytes {
		limit = firstPartBytes
	} else {
		b.begun()
		<-b.gate
	}
	n := copy(p, strings.Repeat("x", min(len(p), limit-b.sent)))
	b.sent += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// stopWithTLS is one stop of an instance while callers are in their TLS handshake, in a body of 4 MB, or wait for a
// response, by HTTP/1.1 or HTTP/2, and while settings are reloaded and rules change.
type stopWithTLS struct {
	site    *site.Site
	ca      *authority.Authority
	protos  http.Protocols
	gate    chan struct{}
	begun   sync.WaitGroup // callers that have begun
	results chan error
	running sync.WaitGroup
}

// transport returns a transport that sends the first bytes of each connection before the gate is opened, or all if
// firstBytes is 0.
func (s *stopWithTLS) transport(firstBytes int) *http.Transport {
	return &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: s.ca.Pool()}, Protocols: &s.protos,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil || firstBytes == 0 {
				return conn, err
			}
			return &gatedConn{conn, firstBytes, sync.OnceFunc(s.begun.Done), s.gate}, nil
		},
	}
}

// order sends an order and reports whether it got its response.
func (s *stopWithTLS) order(transport *http.Transport, body io.Reader) {
	s.running.Go(func() {
		defer transport.CloseIdleConnections()
		resp := sendRequest(&http.Client{Transport: transport}, http.MethodPost,
			"https://"+s.site.Addresses()[0]+"/orders", s.site.Keys()[accountName], body)
		if resp.err != nil || resp.status != http.StatusOK {
			s.results <- fmt.Errorf("status %d %.80q: %w", resp.status, resp.body, resp.err)
		}
	})
}

func (s *stopWithTLS) run(t *testing.T) {
	s.begun.Add(tlsClients + 1)
	s.order(s.transport(0), &gatedBody{begun: sync.OnceFunc(s.begun.Done), gate: s.gate})
	for n := range tlsClients {
		s.order(s.transport(firstPartBytes), strings.NewReader(fmt.Sprint("handshake ", n)))
		s.order(s.transport(0), strings.NewReader(fmt.Sprint("waiting ", n)))
	}
	s.begun.Wait()
	poll(t, func() bool { return len(s.site.Services()[0].Runs()) >= tlsClients })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.site.Instances()[0].Stop()
	}()
	for range 3 {
		s.site.Instances()[0].Reload()
	}
	client := platform.NewClient(s.site.PlatformURL(), site.Secrets.Platform)
	defer client.HTTP.CloseIdleConnections()
	rules := s.site.Rules() + "- {account: late, rate: 1000, burst: 1000, weight: 1}   # test: changed during the stop\n"
	if _, err := config.Apply(t.Context(), client, rules, "test"); err != nil {
		t.Errorf("unable to change the rules: %v", err)
	}
	time.Sleep(20 * time.Millisecond)
	close(s.gate)
	s.running.Wait()
	close(s.results)
	for err := range s.results {
		t.Errorf("cut by the stop: %v", err)
	}
	<-stopped
}

// Each request whose connection had arrived before a stop is answered.
func TestStopAnswersRequestsWithTLS(t *testing.T) {
	ca, files := issueCertificate(t)
	for n := range tlsStops {
		log := logrus.New()
		log.SetOutput(io.Discard)
		started, err := site.Start(context.Background(), site.Config{
			Instances: 1, PrefillEngines: 1, DecodeEngines: 1, Services: 1, Zones: []string{"ala-a"}, Log: log,
			Accounts: []site.Account{{Name: accountName, Rate: 100_000_000, Burst: 100_000_000, Weight: 1}},
			TLS:      option.TLS{Certificate: files.Certificate, Key: files.Key},
		})
		if err != nil {
			t.Fatal(err)
		}
		started.Services()[0].SetFaults(service.Faults{Delay: 300 * time.Millisecond})
		s := &stopWithTLS{site: started, ca: ca, gate: make(chan struct{}), results: make(chan error, 3*tlsClients)}
		s.protos.SetHTTP1(n%2 == 0)
		s.protos.SetHTTP2(n%2 == 1)
		s.run(t)
		if err := started.Stop(); err != nil {
			t.Errorf("unexpected error %v", err)
		}
	}
}
