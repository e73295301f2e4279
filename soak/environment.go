// Package soak runs instances as separate processes on loopback, injects faults from outside, and checks from the
// responses to callers and the requests at backend servers that the guarantees to callers hold.
package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"teaselgate/platform"
	"teaselgate/socket"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
	store "teaselgate/standin/platform"
)

// Sizes and times of an environment.
const (
	plainServers         = 3
	prefillServers       = 2
	decodeServers        = 4
	registrationInterval = 400 * time.Millisecond // time between updates of the entries of servers in the store
	shutdownTimeout      = 10 * time.Second       // time for an instance to end before it is killed
	readyTimeout         = 20 * time.Second       // time for the instances to start
	readyPollInterval    = 50 * time.Millisecond
	accountKey           = "soak-key"      // API key of the client account
	loopbackAddress      = "127.0.0.1:0"   // a free loopback port
	plainTimeout         = 2 * time.Second // timeout of routes to plain services
	engineSlots          = 8
	eventInterval        = 20 * time.Millisecond
	deadlyPart           = "deadly"                // part of prompts on which decode engines crash
	serverRestartTime    = 1500 * time.Millisecond // time from a crash of a server until it is back
	engineKVTokens       = 32_000                  // KV cache capacity of a decode engine, in tokens
	accountRate          = 10_000_000              // tokens per second; high enough that no request exceeds it
)

// backendServer is a backend server, its HTTP server and the proxy through which instances reach it.
type backendServer struct {
	backend    *backend.Server
	proxy      *proxy
	service    string
	zone       string
	httpServer *http.Server
	starts     atomic.Int64 // number of starts after the first
}

// restart ends the faults of a server that was leaving, as a new start under the same id does.
func (b *backendServer) restart() {
	b.starts.Add(1)
	b.backend.SetFaults(backend.Faults{})
}

// environment is the platform store, the backend servers and the instances.
type environment struct {
	dir          string // settings and logs of the instances
	store        *store.Server
	storeHTTP    *http.Server
	storeProxies []*proxy         // one for each instance, in the same order
	storeClient  *platform.Client // reaches the store without a proxy
	servers      []*backendServer
	processes    []*process
	addresses    []string // addresses of the instances that serve callers

	otherAddresses []string // addresses of the instances for operators and for other instances
	version        int      // last version of the configuration
	evacuations    evacuationLog
	lastTriedPort  int // freeAddresses tries the ports above it
}

// newEnvironment starts the store, the backend servers and the instances, and waits until the instances accept
// connections.
func newEnvironment(ctx context.Context, binary, dir string, instances int) (*environment, error) {
	const portsPerRun = 64 // ports for each process id, so that concurrent runs rarely try the same ones
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
	return e, e.waitReady(ctx)
}

// configure writes a new version of the configuration.
func (e *environment) configure(ctx context.Context) error {
	e.version++
	old, err := e.storeClient.Get(ctx, platform.ConfigurationKind, platform.ConfigurationName)
	if err != nil && e.version > 1 {
		return fmt.Errorf("soak: unable to read the configuration: %w", err)
	}
	text := caller.Configuration(caller.Settings{
		Version: e.version, PlainTimeout: plainTimeout, EngineSlots: engineSlots, EngineKVTokens: engineKVTokens,
		AccountRate: accountRate, Key: accountKey, DigestPriority: 2, ColdTime: coldTime, ColdRate: coldRate,
	})
	if _, err := e.storeClient.Update(ctx, platform.ConfigurationKind, platform.ConfigurationName, old.Version, text); err != nil {
		return fmt.Errorf("soak: unable to write the configuration: %w", err)
	}
	return nil
}

// startServers starts the backend servers, each behind a proxy.
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
		b := &backendServer{
			backend: s.Init(), proxy: p, service: service, zone: zoneOf(len(e.servers)), httpServer: &http.Server{Handler: s},
		}
		s.OnCrash = func() { p.crash(ctx, s.RestartTime) }
		go func() { _ = b.httpServer.Serve(listener) }()
		e.servers = append(e.servers, b)
		return nil
	}
	for n := range plainServers {
		if err := add(&backend.Server{
			ID: fmt.Sprintf("s%d", n), Slots: 6, QueueLimit: 24, ServiceTime: 10 * time.Millisecond,
			DeadlyRequests: deadlyRequests(n, false), RestartTime: serverRestartTime,
		}, caller.PlainService); err != nil {
			return err
		}
	}
	for n := range prefillServers {
		s := &backend.Server{
			ID: fmt.Sprintf("p%d", n), Stage: "prefill", Slots: 1, QueueLimit: 16,
			PrefillRate: 100_000, HandleLifetime: time.Second / 2,
			DeadlyRequests: deadlyRequests(n, true), RestartTime: serverRestartTime,
		}
		if err := add(s, caller.ModelService); err != nil {
			return err
		}
	}
	for n := range decodeServers {
		s := &backend.Server{
			ID: fmt.Sprintf("d%d", n), Stage: "decode", Slots: engineSlots, KVTokens: engineKVTokens,
			StreamEvents: streamEvents, EventInterval: eventInterval,
			DeadlyParts: []string{deadlyPart}, DeadlyRequests: deadlyRequests(n, false), RestartTime: serverRestartTime,
		}
		s.FindServer = e.findServer
		if err := add(s, caller.ModelService); err != nil {
			return err
		}
	}
	return nil
}

// findServer returns the backend server whose proxy listens on an address, or nil.
func (e *environment) findServer(address string) *backend.Server {
	for _, b := range e.servers {
		if b.proxy.address() == address {
			return b.backend
		}
	}
	return nil
}

// startInstance starts the nth instance, which reaches the store through a proxy of its own.
func (e *environment) startInstance(ctx context.Context, binary string, n int, storeAddress string) error {
	p, err := newProxy(ctx, storeAddress)
	if err != nil {
		return fmt.Errorf("soak: unable to listen: %w", err)
	}
	e.storeProxies = append(e.storeProxies, p)
	addresses, err := e.freeAddresses(ctx)
	if err != nil {
		return err
	}
	process, err := newProcess(binary, e.dir, fmt.Sprintf("i%d", n), string(rune('a'+n%3)),
		addresses[0], addresses[1], addresses[2], p.address(), gracePeriods[n%len(gracePeriods)])
	if err != nil {
		return err
	}
	e.processes = append(e.processes, process)
	e.addresses = append(e.addresses, addresses[0])
	e.otherAddresses = append(e.otherAddresses, addresses[1:]...)
	return process.start()
}

// Ports of instances. They lie below the range from which the kernel chooses the local ports of connections, so that no
// connection takes the port of an instance while it is restarted.
const (
	firstPort     = 12_000
	lastPort      = 30_000
	instancePorts = 3 // ports per instance
)

// freeAddresses returns the loopback addresses of an instance, on free ports.
func (e *environment) freeAddresses(ctx context.Context) ([]string, error) {
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

// registerServers updates the entries of the backend servers in the store at an interval until the context ends.
func (e *environment) registerServers(ctx context.Context) {
	tick := time.NewTicker(registrationInterval)
	defer tick.Stop()
	for {
		for _, b := range e.servers {
			e.register(ctx, b)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// register writes the entry of a backend server to the store.
func (e *environment) register(ctx context.Context, b *backendServer) {
	old, err := e.storeClient.Get(ctx, platform.ServerKind, b.backend.ID)
	if platform.IsDown(err) {
		return // registerServers tries again after the interval
	}
	entry := b.backend.Entry(b.service, b.proxy.address(), b.zone, b.starts.Load())
	// If the update fails, registerServers tries again after the interval.
	_, _ = e.storeClient.Update(ctx, platform.ServerKind, b.backend.ID, old.Version, entry)
}

// waitReady waits until every instance accepts connections. Meanwhile it registers the backend servers in the store.
func (e *environment) waitReady(ctx context.Context) error {
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

// stop ends the instances and closes the servers and proxies. Only processes that this run started get signals.
func (e *environment) stop() {
	for _, p := range e.processes {
		p.shutDown(shutdownTimeout)
	}
	for _, b := range e.servers {
		b.proxy.close()
		b.httpServer.Close()
	}
	for _, p := range e.storeProxies {
		p.close()
	}
	e.storeHTTP.Close()
}

// cleanUpLogs returns the directory of the logs if the run failed; otherwise it removes the directory and returns an
// empty string.
func (e *environment) cleanUpLogs(failed bool) string {
	if failed {
		return filepath.Clean(e.dir)
	}
	_ = os.RemoveAll(e.dir) // files that cannot be removed stay in the directory for temporary files
	return ""
}
