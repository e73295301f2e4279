// Package site runs a small site in one process on loopback: a platform store, instances and backend servers.
package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselgate/config"
	"teaselgate/instance"
	"teaselgate/option"
	"teaselgate/platform"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
	standplatform "teaselgate/standin/platform"
	standservice "teaselgate/standin/service"
)

const (
	readyTimeout      = 10 * time.Second      // time for an instance to become ready
	readyPollInterval = 20 * time.Millisecond // time between readiness checks
	headerTimeout     = 5 * time.Second       // read header timeout of the stand-ins
	loopbackAddress   = "127.0.0.1:0"         // a free loopback port
)

// Secrets are the tokens that every site uses.
var Secrets = option.Secrets{Platform: "site-platform", Admin: "site-admin", Peer: "site-peer"}

// Site is a running site.
type Site struct {
	config      Config
	rules       strings.Builder
	platformURL string
	platform    *standplatform.Server
	instances   []*Instance
	apiKeys     map[string]string     // by client account
	engines     []*standengine.Engine // prefill engines first
	services    []*standservice.Service

	httpServers map[string]*http.Server // HTTP servers of the stand-ins, by server name; "platform" is the platform store
	killed      map[string]bool         // backend servers and platform store that Kill has closed, by server name
	stopEngines context.CancelFunc
	running     sync.WaitGroup // goroutines of the engines, HTTP servers and instances

	mu   sync.Mutex
	errs []error // errors of the instances
}

// Instance is one running instance of the site.
type Instance struct {
	address string // address that serves callers
	admin   string // address of the admin API
	stop    context.CancelFunc
	reload  func()
	done    chan struct{} // closed when the instance has ended
}

// Address returns the address that serves callers.
func (i *Instance) Address() string { return i.address }

// Admin returns the address of the admin API.
func (i *Instance) Admin() string { return i.admin }

// Reload makes the instance apply its settings again.
func (i *Instance) Reload() { i.reload() }

// Stop makes the instance leave and waits until it has ended.
func (i *Instance) Stop() {
	i.stop()
	<-i.done
}

// Start starts all parts of a site and waits until the instances are ready.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	s := &Site{
		config: cfg, httpServers: make(map[string]*http.Server), killed: make(map[string]bool),
		platform: standplatform.NewServer(Secrets.Platform),
	}
	address, err := s.serve(ctx, "platform", s.platform.Handler())
	if err != nil {
		return nil, err
	}
	s.platformURL = "http://" + address
	s.rules.WriteString(cfg.rules())
	if err := s.startServers(ctx); err != nil {
		return nil, err
	}
	s.apiKeys = cfg.addAccounts(&s.rules)
	client := platform.NewClient(s.platformURL, Secrets.Platform)
	defer client.HTTP.CloseIdleConnections()
	if _, err := config.Apply(ctx, client, s.rules.String(), "site"); err != nil {
		return nil, err
	}
	for n := range cfg.Instances {
		if err := s.startInstance(ctx, n); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Instances returns the instances in the order in which they were started.
func (s *Site) Instances() []*Instance { return s.instances }

// Addresses returns the addresses of all instances that serve callers.
func (s *Site) Addresses() []string {
	out := make([]string, 0, len(s.instances))
	for _, i := range s.instances {
		out = append(out, i.address)
	}
	return out
}

// Keys returns the API key of each client account, by its name.
func (s *Site) Keys() map[string]string { return s.apiKeys }

// Engines returns the engines, prefill engines first.
func (s *Site) Engines() []*standengine.Engine { return s.engines }

// Services returns the plain services.
func (s *Site) Services() []*standservice.Service { return s.services }

// Platform returns the stand-in for the platform store.
func (s *Site) Platform() *standplatform.Server { return s.platform }

// PlatformURL returns the base URL of the platform store.
func (s *Site) PlatformURL() string { return s.platformURL }

// Rules returns the text of the rules that the site was started with.
func (s *Site) Rules() string { return s.rules.String() }

// startServers starts the engines and services and appends their rules.
func (s *Site) startServers(ctx context.Context) error {
	ctx, s.stopEngines = context.WithCancel(ctx)
	for n := range s.config.PrefillEngines {
		if err := s.startEngine(ctx, n, "p", "chat-prefill", rule.Prefill); err != nil {
			return err
		}
	}
	for n := range s.config.DecodeEngines {
		if err := s.startEngine(ctx, n, "d", "chat-decode", rule.Decode); err != nil {
			return err
		}
	}
	for n := range s.config.Services {
		service := standservice.NewService()
		s.services = append(s.services, service)
		if err := s.addServer(ctx, n, fmt.Sprintf("o%d", n), "order-service", service.Handler()); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts the nth engine of a pool, names it by prefix and n, and appends the rule of its server.
func (s *Site) startEngine(ctx context.Context, n int, prefix, pool string, duty rule.Duty) error {
	e := standengine.NewEngine(fmt.Sprintf("%s%d", prefix, n), duty)
	if s.config.ConfigureEngine != nil {
		s.config.ConfigureEngine(e)
	}
	s.engines = append(s.engines, e)
	s.running.Go(func() { _ = e.Run(ctx) })
	return s.addServer(ctx, n, e.Name, pool, e.Handler())
}

// addServer starts an HTTP server for a backend server and appends its rule.
func (s *Site) addServer(ctx context.Context, n int, name, pool string, handler http.Handler) error {
	address, err := s.serve(ctx, name, handler)
	if err != nil {
		return err
	}
	fmt.Fprintf(&s.rules, "- {server: %s, pool: %s, zone: %s, at: %q, state: live}   # site: made at the start\n",
		name, pool, s.config.zone(n), address)
	return nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (s *Site) serve(ctx context.Context, name string, handler http.Handler) (string, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", loopbackAddress)
	if err != nil {
		return "", fmt.Errorf("site: unable to listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.httpServers[name] = server
	s.running.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Kill closes a backend server or the platform store at once, by name.
func (s *Site) Kill(name string) {
	s.killed[name] = true
	s.httpServers[name].Close()
}

// startInstance starts the nth instance and waits until it is ready.
func (s *Site) startInstance(ctx context.Context, n int) error {
	options := option.Default()
	options.Name = fmt.Sprintf("i%d", n)
	options.Zone = s.config.zone(n)
	options.Listen, options.Admin, options.Peer = loopbackAddress, loopbackAddress, loopbackAddress
	options.Platform, options.TLS = s.platformURL, s.config.TLS
	inst := &instance.Instance{
		Options: options, Secrets: Secrets, Log: s.config.Log, BalancerDelay: s.config.BalancerDelay,
		ShutdownTimeout: s.config.ShutdownTimeout,
	}
	reload := func() { inst.Reload(options) }
	if err := inst.Open(ctx); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	started := &Instance{address: inst.Address(), admin: inst.AdminAddress(), stop: stop, reload: reload, done: make(chan struct{})}
	s.instances = append(s.instances, started)
	s.running.Go(func() {
		defer close(started.done)
		s.recordError(inst.Run(ctx))
	})
	return waitReady(ctx, started)
}

// recordError records an error of an instance, unless it only says that the context was cancelled.
func (s *Site) recordError(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// waitReady waits until the instance is ready, for readyTimeout at most.
func waitReady(ctx context.Context, i *Instance) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		if i.Ready(ctx, http.DefaultClient) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("site: instance %s did not become ready: %w", i.admin, ctx.Err())
		case <-tick.C:
		}
	}
}

// Ready reports whether the instance says that it is ready, as the platform's load balancer checks.
func (i *Instance) Ready(ctx context.Context, client *http.Client) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.admin+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Stop makes all instances leave at the same time, closes the stand-ins, and returns the errors of the instances.
func (s *Site) Stop() error {
	for _, i := range s.instances {
		i.stop()
	}
	for _, i := range s.instances {
		<-i.done
	}
	http.DefaultClient.CloseIdleConnections()
	s.stopEngines()
	for _, server := range s.httpServers {
		server.Close()
	}
	s.running.Wait()
	return errors.Join(s.errs...)
}
