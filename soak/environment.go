// Package soak runs real instances as separate processes on loopback, injects faults from outside, and checks from what
// callers and backend servers see that the promises hold.
package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"teaselgate/platform"
	"teaselgate/socket"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
	store "teaselgate/standin/platform"
)

// Sizes and times of a world.
const (
	plainServers         = 3
	prefillServers       = 2
	decodeServers        = 4
	registrationInterval = 400 * time.Millisecond
	shutdownTimeout      = 10 * time.Second
	readyTimeout         = 20 * time.Second
	readyPollInterval    = 50 * time.Millisecond
	accountKey           = "soak-key"
	loopbackAddress      = "127.0.0.1:0"
	plainTimeout         = 2 * time.Second
	engineSlots          = 8
	engineKVTokens       = 32_000     // tokens
	accountRate          = 10_000_000 // tokens a second: no request is over it
)

// backendServer is a backend server with its place in the world.
type backendServer struct {
	server     *backend.Server
	proxy      *proxy
	service    string
	httpServer *http.Server
}

// environment is the store, the backend servers and the instances.
type environment struct {
	dir           string
	store         *store.Server
	storeHTTP     *http.Server
	storeProxies  []*proxy // one for each instance
	storeClient   *platform.Client
	servers       []*backendServer
	processes     []*process
	addresses     []string // of the instances, for callers
	version       int
	lastTriedPort int
}

// newEnvironment starts everything.
func newEnvironment(ctx context.Context, binary, dir string, instances int) (*environment, error) {
	const portsPerRun = 64 // so that runs at the same time rarely meet
	e := &environment{dir: dir, store: store.NewServer("")}
	e.lastTriedPort = firstPort + os.Getpid()*portsPerRun%(lastPort-firstPort-portsPerRun)
	listener, err := socket.Listen(ctx, loopbackAddress)
	if err != nil {
		return nil, fmt.Errorf("soak: unable to listen: %w", err)
	}
	e.storeHTTP = &http.Server{Handler: e.store.Handler()}
	go func() { _ = e.storeHTTP.Serve(listener) }()
	e.storeClient = platform.NewClient("http://"+listener.Addr().String(), "")
	if err := e.configure(ctx); err != nil {
		return nil, err
	}
	if err := e.startServers(ctx); err != nil {
		return nil, err
	}
	for n := range instances {
		if err := e.startInstance(ctx, binary, n, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return e, e.awaitReady(ctx)
}

// configure writes a new version of the configuration.
func (e *environment) configure(ctx context.Context) error {
	e.version++
	old, err := e.storeClient.Get(ctx, platform.ConfigurationKind, platform.ConfigurationName)
	if err != nil && e.version > 1 {
		return fmt.Errorf("soak: unable to read the configuration: %w", err)
	}
	text := caller.Configuration(caller.Settings{
		Version: e.version, PlainTimeout: plainTimeout, EngineSlots: engineSlots, EngineKVTokens: engineKVTokens, AccountRate: accountRate, Key: accountKey,
	})
	if _, err := e.storeClient.Update(ctx, platform.ConfigurationKind, platform.ConfigurationName, old.Version, text); err != nil {
		return fmt.Errorf("soak: unable to write the configuration: %w", err)
	}
	return nil
}

func (e *environment) startServers(ctx context.Context) error {
	add := func(s *backend.Server, service string) error {
		listener, err := socket.Listen(ctx, loopbackAddress)
		if err != nil {
			return fmt.Errorf("soak: unable to listen: %w", err)
		}
		p, err := newProxy(ctx, listener.Addr().String())
		if err != nil {
			return fmt.Errorf("soak: unable to listen: %w", err)
		}
		m := &backendServer{server: s.Init(), proxy: p, service: service, httpServer: &http.Server{Handler: s}}
		go func() { _ = m.httpServer.Serve(listener) }()
		e.servers = append(e.servers, m)
		return nil
	}
	for n := range plainServers {
		if err := add(&backend.Server{ID: fmt.Sprintf("s%d", n), Slots: 6, QueueLimit: 24, ServiceTime: 10 * time.Millisecond}, caller.PlainService); err != nil {
			return err
		}
	}
	for n := range prefillServers {
		s := &backend.Server{ID: fmt.Sprintf("p%d", n), Stage: "prefill", Slots: 1, QueueLimit: 16, PrefillRate: 100_000, HandleLifetime: time.Second / 2}
		if err := add(s, caller.ModelService); err != nil {
			return err
		}
	}
	for n := range decodeServers {
		s := &backend.Server{ID: fmt.Sprintf("d%d", n), Stage: "decode", Slots: engineSlots, KVTokens: engineKVTokens, StreamEvents: 12, EventInterval: 20 * time.Millisecond}
		s.FindServer = e.findServer
		if err := add(s, caller.ModelService); err != nil {
			return err
		}
	}
	return nil
}

// findServer finds an engine by the address under which instances know it.
func (e *environment) findServer(address string) *backend.Server {
	for _, m := range e.servers {
		if m.proxy.address() == address {
			return m.server
		}
	}
	return nil
}

func (e *environment) startInstance(ctx context.Context, binary string, n int, storeAddress string) error {
	p, err := newProxy(ctx, storeAddress)
	if err != nil {
		return fmt.Errorf("soak: unable to listen: %w", err)
	}
	e.storeProxies = append(e.storeProxies, p)
	ports, err := e.freePorts(ctx)
	if err != nil {
		return err
	}
	process, err := newProcess(binary, e.dir, fmt.Sprintf("i%d", n), string(rune('a'+n%3)), ports[0], ports[1], ports[2], p.address())
	if err != nil {
		return err
	}
	e.processes = append(e.processes, process)
	e.addresses = append(e.addresses, ports[0])
	return process.start()
}

// Ports of instances: below those that the kernel gives to connections, one of which could take the port of an instance
// that is being restarted.
const (
	firstPort     = 12_000
	lastPort      = 30_000
	instancePorts = 3
)

// freePorts returns addresses on which nothing listens.
func (e *environment) freePorts(ctx context.Context) ([]string, error) {
	var out []string
	for len(out) < instancePorts {
		e.lastTriedPort++
		if e.lastTriedPort > lastPort {
			return nil, fmt.Errorf("soak: no free ports up to %d", lastPort)
		}
		address := fmt.Sprintf("127.0.0.1:%d", e.lastTriedPort)
		if l, err := socket.Listen(ctx, address); err == nil {
			l.Close()
			out = append(out, address)
		}
	}
	return out, nil
}

// registerServers keeps the servers' entries in the store until the context ends.
func (e *environment) registerServers(ctx context.Context) {
	tick := time.NewTicker(registrationInterval)
	defer tick.Stop()
	for {
		for _, m := range e.servers {
			e.register(ctx, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (e *environment) register(ctx context.Context, m *backendServer) {
	old, err := e.storeClient.Get(ctx, platform.ServerKind, m.server.ID)
	if platform.IsDown(err) {
		return // the next beat tries again
	}
	entry := map[string]any{
		"service": m.service, "address": m.proxy.address(), "zone": "a", "slots": m.server.Slots, "state": "ready", "stage": m.server.Stage,
	}
	_, _ = e.storeClient.Update(ctx, platform.ServerKind, m.server.ID, old.Version, entry) // the same
}

func (e *environment) awaitReady(ctx context.Context) error {
	readyCtx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	go e.registerServers(readyCtx)
	for _, address := range e.addresses {
		for {
			conn, err := socket.NewDialer().DialContext(readyCtx, "tcp", address)
			if err == nil {
				conn.Close()
				break
			}
			if readyCtx.Err() != nil {
				return fmt.Errorf("soak: the instance at %s did not start; see the logs in %s", address, e.dir)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// stop stops what runs; only processes that the soak started get signals.
func (e *environment) stop() {
	for _, p := range e.processes {
		p.shutDown(shutdownTimeout)
	}
	for _, m := range e.servers {
		m.proxy.close()
		m.httpServer.Close()
	}
	for _, p := range e.storeProxies {
		p.close()
	}
	e.storeHTTP.Close()
}

// cleanUpLogs tells where the logs are, or removes them after a run without a failure.
func (e *environment) cleanUpLogs(failed bool) string {
	if failed {
		return filepath.Clean(e.dir)
	}
	_ = os.RemoveAll(e.dir) // what is left lies among the temporary files
	return ""
}
