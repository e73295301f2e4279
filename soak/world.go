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
	plainServers   = 3
	prefillServers = 2
	decodeServers  = 4
	beatInterval   = 400 * time.Millisecond
	endGrace       = 10 * time.Second
	readyTimeout   = 20 * time.Second
	readyCheck     = 50 * time.Millisecond
	clientKey      = "soak-key"
	anyPort        = "127.0.0.1:0"
	plainTimeout   = 2 * time.Second
	engineSlots    = 8
	engineMemory   = 32_000     // tokens
	accountRate    = 10_000_000 // tokens a second: no request is over it
)

// member is a backend server with its place in the world.
type member struct {
	server  *backend.Server
	proxy   *proxy
	service string
	http    *http.Server
}

// world is the store, the backend servers and the instances.
type world struct {
	dir        string
	store      *store.Server
	storeHTTP  *http.Server
	storeProxy []*proxy // one for each instance
	direct     *platform.Client
	members    []*member
	processes  []*process
	addresses  []string // of the instances, for callers
	version    int
	nextPort   int
}

// newWorld starts everything.
func newWorld(ctx context.Context, binary, dir string, instances int) (*world, error) {
	const portsOfARun = 64 // so that runs at the same time rarely meet
	w := &world{dir: dir, store: store.NewServer("")}
	w.nextPort = firstPort + os.Getpid()*portsOfARun%(lastPort-firstPort-portsOfARun)
	listener, err := socket.Listen(ctx, anyPort)
	if err != nil {
		return nil, fmt.Errorf("soak: unable to listen: %w", err)
	}
	w.storeHTTP = &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.storeHTTP.Serve(listener) }()
	w.direct = platform.NewClient("http://"+listener.Addr().String(), "")
	if err := w.configure(ctx); err != nil {
		return nil, err
	}
	if err := w.startServers(ctx); err != nil {
		return nil, err
	}
	for n := range instances {
		if err := w.startInstance(ctx, binary, n, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return w, w.awaitReady(ctx)
}

// configure writes a new version of the configuration.
func (w *world) configure(ctx context.Context) error {
	w.version++
	old, err := w.direct.Get(ctx, platform.ConfigurationKind, platform.ConfigurationName)
	if err != nil && w.version > 1 {
		return fmt.Errorf("soak: unable to read the configuration: %w", err)
	}
	text := caller.Configuration(caller.Settings{
		Version: w.version, PlainTimeout: plainTimeout, EngineSlots: engineSlots, EngineKVTokens: engineMemory, AccountRate: accountRate, Key: clientKey,
	})
	if _, err := w.direct.Update(ctx, platform.ConfigurationKind, platform.ConfigurationName, old.Version, text); err != nil {
		return fmt.Errorf("soak: unable to write the configuration: %w", err)
	}
	return nil
}

func (w *world) startServers(ctx context.Context) error {
	add := func(s *backend.Server, service string) error {
		listener, err := socket.Listen(ctx, anyPort)
		if err != nil {
			return fmt.Errorf("soak: unable to listen: %w", err)
		}
		p, err := newProxy(ctx, listener.Addr().String())
		if err != nil {
			return fmt.Errorf("soak: unable to listen: %w", err)
		}
		m := &member{server: s.Init(), proxy: p, service: service, http: &http.Server{Handler: s}}
		go func() { _ = m.http.Serve(listener) }()
		w.members = append(w.members, m)
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
		s := &backend.Server{ID: fmt.Sprintf("d%d", n), Stage: "decode", Slots: engineSlots, KVTokens: engineMemory, StreamEvents: 12, EventInterval: 20 * time.Millisecond}
		s.FindServer = w.source
		if err := add(s, caller.ModelService); err != nil {
			return err
		}
	}
	return nil
}

// source finds an engine by the address under which instances know it.
func (w *world) source(address string) *backend.Server {
	for _, m := range w.members {
		if m.proxy.address() == address {
			return m.server
		}
	}
	return nil
}

func (w *world) startInstance(ctx context.Context, binary string, n int, storeAddress string) error {
	p, err := newProxy(ctx, storeAddress)
	if err != nil {
		return fmt.Errorf("soak: unable to listen: %w", err)
	}
	w.storeProxy = append(w.storeProxy, p)
	ports, err := w.freePorts(ctx)
	if err != nil {
		return err
	}
	process, err := newProcess(binary, w.dir, fmt.Sprintf("i%d", n), string(rune('a'+n%3)), ports[0], ports[1], ports[2], p.address())
	if err != nil {
		return err
	}
	w.processes = append(w.processes, process)
	w.addresses = append(w.addresses, ports[0])
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
func (w *world) freePorts(ctx context.Context) ([]string, error) {
	var out []string
	for len(out) < instancePorts {
		w.nextPort++
		if w.nextPort > lastPort {
			return nil, fmt.Errorf("soak: no free ports up to %d", lastPort)
		}
		address := fmt.Sprintf("127.0.0.1:%d", w.nextPort)
		if l, err := socket.Listen(ctx, address); err == nil {
			l.Close()
			out = append(out, address)
		}
	}
	return out, nil
}

// beat keeps the servers' entries in the store until the context ends.
func (w *world) beat(ctx context.Context) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		for _, m := range w.members {
			w.register(ctx, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (w *world) register(ctx context.Context, m *member) {
	old, err := w.direct.Get(ctx, platform.ServerKind, m.server.ID)
	if platform.IsDown(err) {
		return // the next beat tries again
	}
	entry := map[string]any{
		"service": m.service, "address": m.proxy.address(), "zone": "a", "slots": m.server.Slots, "state": "ready", "stage": m.server.Stage,
	}
	_, _ = w.direct.Update(ctx, platform.ServerKind, m.server.ID, old.Version, entry) // the same
}

func (w *world) awaitReady(ctx context.Context) error {
	beats, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	go w.beat(beats)
	for _, address := range w.addresses {
		for {
			conn, err := socket.NewDialer().DialContext(beats, "tcp", address)
			if err == nil {
				conn.Close()
				break
			}
			if beats.Err() != nil {
				return fmt.Errorf("soak: the instance at %s did not start; see the logs in %s", address, w.dir)
			}
			time.Sleep(readyCheck)
		}
	}
	return nil
}

// end stops what runs; only processes that the soak started get signals.
func (w *world) end() {
	for _, p := range w.processes {
		p.end(endGrace)
	}
	for _, m := range w.members {
		m.proxy.close()
		m.http.Close()
	}
	for _, p := range w.storeProxy {
		p.close()
	}
	w.storeHTTP.Close()
}

// keepLogs tells where the logs are, or removes them after a run without a failure.
func (w *world) keepLogs(failed bool) string {
	if failed {
		return filepath.Clean(w.dir)
	}
	_ = os.RemoveAll(w.dir) // what is left lies among the temporary files
	return ""
}
