package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/account"
	"teaselgate/config"
	"teaselgate/instance"
	"teaselgate/option"
	"teaselgate/platform"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
	standplatform "teaselgate/standin/platform"
	standservice "teaselgate/standin/service"
)

// Sizes of the demo's fleet.
const (
	instances      = 3
	prefillEngines = 3
	decodeEngines  = 4
	orderServices  = 2
	readyTimeout   = 10 * time.Second
	readyInterval  = 20 * time.Millisecond
	headerTimeout  = 5 * time.Second
)

// fleet is everything the demo runs.
type fleet struct {
	addresses []string          // callers' addresses of the instances
	keys      map[string]string // secret by client account
	engines   []*standengine.Engine
	services  []*standservice.Service

	standins    []*http.Server
	stopEngines context.CancelFunc
	stopServe   context.CancelFunc
	running     sync.WaitGroup
	mu          sync.Mutex
	errs        []error
}

func startFleet(ctx context.Context, log *logrus.Logger) (*fleet, error) {
	f := &fleet{keys: make(map[string]string)}
	tokens := option.Secrets{Platform: "demo-platform", Admin: "demo-admin", Peer: "demo-peer"}
	base, err := f.serve(ctx, standplatform.NewServer(tokens.Platform).Handler())
	if err != nil {
		return nil, err
	}
	rules, err := f.startServers(ctx)
	if err != nil {
		return nil, err
	}
	client := platform.NewClient("http://"+base, tokens.Platform)
	defer client.HTTP.CloseIdleConnections()
	if _, err := config.Apply(ctx, client, rules, "demo"); err != nil {
		return nil, err
	}
	return f, f.startInstances(ctx, log, "http://"+base, tokens)
}

// startServers starts the backend servers and returns the example rules with their lines.
func (f *fleet) startServers(ctx context.Context) (string, error) {
	var rules strings.Builder
	rules.WriteString(exampleRules)
	ctx, f.stopEngines = context.WithCancel(ctx)
	for n := range prefillEngines {
		if err := f.startEngine(ctx, &rules, fmt.Sprintf("p%d", n), "chat-prefill", rule.Prefill); err != nil {
			return "", err
		}
	}
	for n := range decodeEngines {
		if err := f.startEngine(ctx, &rules, fmt.Sprintf("d%d", n), "chat-decode", rule.Decode); err != nil {
			return "", err
		}
	}
	for n := range orderServices {
		s := standservice.NewService()
		f.services = append(f.services, s)
		at, err := f.serve(ctx, s.Handler())
		if err != nil {
			return "", err
		}
		addServer(&rules, fmt.Sprintf("o%d", n), "order-service", at)
	}
	for _, name := range []string{"dala-almaty", "dala-astana", "dala-village"} {
		secret, hash := account.NewKey()
		f.keys[name] = secret
		fmt.Fprintf(&rules, "- {key: %q, account: %s}   # demo: made at the start\n", hash, name)
	}
	return rules.String(), nil
}

func (f *fleet) startEngine(ctx context.Context, rules *strings.Builder, name, pool string, duty rule.Duty) error {
	e := standengine.NewEngine(name, duty)
	f.engines = append(f.engines, e)
	f.running.Go(func() { _ = e.Run(ctx) })
	at, err := f.serve(ctx, e.Handler())
	if err != nil {
		return err
	}
	addServer(rules, name, pool, at)
	return nil
}

func addServer(rules *strings.Builder, name, pool, at string) {
	fmt.Fprintf(rules, "- {server: %s, pool: %s, zone: ala-a, at: %q, state: live}   # demo: made at the start\n", name, pool, at)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (f *fleet) serve(ctx context.Context, handler http.Handler) (string, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: unable to listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	f.standins = append(f.standins, server)
	f.running.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (f *fleet) startInstances(ctx context.Context, log *logrus.Logger, base string, tokens option.Secrets) error {
	ctx, f.stopServe = context.WithCancel(ctx)
	for n := range instances {
		o := option.Default()
		o.Name = fmt.Sprintf("i%d", n)
		o.Zone = fmt.Sprintf("ala-%c", 'a'+n)
		o.Listen, o.Admin, o.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		o.Platform = base
		i := &instance.Instance{Options: o, Tokens: tokens, Log: log}
		if err := i.Open(ctx); err != nil {
			return err
		}
		f.addresses = append(f.addresses, i.Address())
		f.running.Go(func() { f.note(i.Run(ctx)) })
		if err := waitReady(ctx, i.AdminAddress()); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) note(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

func waitReady(ctx context.Context, admin string) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		if isReady(ctx, admin) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: instance %s did not become ready: %w", admin, ctx.Err())
		case <-tick.C:
		}
	}
}

func isReady(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop lets the instances leave, then ends the stand-ins.
func (f *fleet) stop() error {
	f.stopServe()
	http.DefaultClient.CloseIdleConnections()
	f.stopEngines()
	for _, s := range f.standins {
		s.Close()
	}
	f.running.Wait()
	return errors.Join(f.errs...)
}

// broken lists the promises that did not hold at the backend servers.
func (f *fleet) broken(placed []string) []string {
	var out []string
	runs := make(map[string]int)
	for _, s := range f.services {
		for key, n := range s.Runs() {
			runs[key] += n
		}
		for _, leak := range s.Leaks() {
			out = append(out, "a key reached a service in "+leak)
		}
	}
	for key, n := range runs {
		if key != "" && n > 1 {
			out = append(out, fmt.Sprintf("order %s ran %d times", key, n))
		}
	}
	for _, key := range placed {
		if runs[key] == 0 {
			out = append(out, "order "+key+" was confirmed but never ran")
		}
	}
	for _, e := range f.engines {
		for _, leak := range e.Leaks() {
			out = append(out, "a key reached an engine in "+leak)
		}
		if n := e.HeldPieces(); n > 0 {
			out = append(out, fmt.Sprintf("engine %s still holds %d pieces", e.Name, n))
		}
	}
	return out
}
