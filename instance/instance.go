// Package instance joins all duties of one teaselgate process under a supervisor.
package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"teaselgate/allowance"
	"teaselgate/cell"
	"teaselgate/config"
	"teaselgate/engine"
	"teaselgate/entry"
	"teaselgate/event"
	"teaselgate/option"
	"teaselgate/peer"
	"teaselgate/platform"
	"teaselgate/service"
)

// Limits of the callers' listener.
const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 64 << 10
	shutdownTimeout = 30 * time.Second
	announceTimeout = 3 * time.Second
)

// Tokens are the secrets that an instance shows to others and expects of them.
type Tokens struct {
	Platform string
	Admin    string
	Peer     string
}

// Instance is one process of the fleet. Its exported fields are set before Run.
type Instance struct {
	Options *option.Options
	Tokens  Tokens
	Log     *logrus.Logger

	incarnation string
	events      *event.Recorder
	platform    *platform.Client
	peers       *peer.Pool
	rules       *config.Follower
	engines     *engine.Client
	services    *service.Client
	listeners   listeners
	leaving     atomic.Bool
}

type listeners struct {
	caller net.Listener
	admin  net.Listener
	peer   net.Listener
}

// Open binds the listeners, so that addresses are known before Run.
func (i *Instance) Open(ctx context.Context) error {
	var config net.ListenConfig
	for _, l := range []struct {
		at  string
		out *net.Listener
	}{
		{i.Options.Listen, &i.listeners.caller},
		{i.Options.Admin, &i.listeners.admin},
		{i.Options.Peer, &i.listeners.peer},
	} {
		listener, err := config.Listen(ctx, "tcp", l.at)
		if err != nil {
			return fmt.Errorf("instance: unable to listen on %s: %w", l.at, err)
		}
		*l.out = listener
	}
	return nil
}

// Address returns the address of the callers' listener.
func (i *Instance) Address() string { return i.listeners.caller.Addr().String() }

// AdminAddress returns the address of the operators' listener.
func (i *Instance) AdminAddress() string { return i.listeners.admin.Addr().String() }

// PeerAddress returns the address for other instances.
func (i *Instance) PeerAddress() string { return i.listeners.peer.Addr().String() }

// Run serves until the context ends, then finishes the requests in flight.
func (i *Instance) Run(ctx context.Context) error {
	i.build()
	supervisor := suture.New(i.Options.Name, suture.Spec{EventHook: i.recordFailure})
	supervisor.Add(i.rules)
	supervisor.Add(peer.NewServer(i.listeners.peer, i.Tokens.Peer))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := supervisor.ServeBackground(background)
	caller := i.callerServer()
	admin := &http.Server{Handler: i.adminHandler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = caller.Serve(i.listeners.caller) }()
	go func() { _ = admin.Serve(i.listeners.admin) }()
	i.announce(background, "live")
	i.events.Record(event.Event{Code: event.InstanceStarted, Detail: i.Address()})
	<-ctx.Done()
	err := i.leave(background, caller)
	admin.Close()
	stop()
	if stopped := <-done; !errors.Is(stopped, context.Canceled) {
		err = errors.Join(err, stopped)
	}
	i.close()
	return err
}

func (i *Instance) build() {
	i.incarnation = fmt.Sprintf("%s-%d", i.Options.Name, time.Now().UnixNano())
	i.events = event.NewRecorder(i.Options.Name, i.Log)
	i.platform = platform.NewClient(i.Options.Platform, i.Tokens.Platform)
	i.peers = peer.NewPool(i.Tokens.Peer)
	i.engines = engine.NewClient()
	i.services = service.NewClient()
	i.rules = &config.Follower{Platform: i.platform, Record: i.events.Record}
}

func (i *Instance) callerServer() *http.Server {
	placer := cell.NewBaseline(i.rules.Rules)
	static := allowance.NewStatic(func() int { return 1 })
	handler := &entry.Handler{
		Incarnation: i.incarnation,
		Zone:        i.Options.Zone,
		Rules:       i.rules.Current,
		Admit:       static.Take,
		Place:       placer.Place,
		PickPlain:   placer.PickPlain,
		Engines:     i.engines,
		Services:    i.services,
		Record:      i.events.Record,
		Now:         time.Now,
	}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// leave stops taking requests and waits for those in flight.
func (i *Instance) leave(ctx context.Context, caller *http.Server) error {
	i.leaving.Store(true)
	i.events.Record(event.Event{Code: event.InstanceLeaving})
	i.announce(ctx, "leaving")
	ctx, stop := context.WithTimeout(ctx, shutdownTimeout)
	defer stop()
	if err := caller.Shutdown(ctx); err != nil {
		return fmt.Errorf("instance: requests were cut at shutdown: %w", err)
	}
	i.events.Record(event.Event{Code: event.InstanceStopped})
	return nil
}

func (i *Instance) close() {
	i.engines.Close()
	i.services.Close()
	i.peers.Close()
	i.platform.HTTP.CloseIdleConnections()
}

// announce writes this instance's entry at the platform.
func (i *Instance) announce(ctx context.Context, state string) {
	ctx, stop := context.WithTimeout(ctx, announceTimeout)
	defer stop()
	entry := platform.Instance{
		Name:  i.Options.Name,
		Zone:  i.Options.Zone,
		Peer:  i.PeerAddress(),
		Admin: i.AdminAddress(),
		State: state,
	}
	old, err := i.platform.Get(ctx, "instance", i.Options.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		i.events.Record(event.Event{Code: event.PlatformLost, Detail: err.Error()})
		return
	}
	if _, err := i.platform.Update(ctx, "instance", i.Options.Name, old.Version, entry); err != nil {
		i.events.Record(event.Event{Code: event.PlatformLost, Detail: err.Error()})
	}
}

// adminHandler serves health, readiness and the event ring.
func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if i.leaving.Load() || i.rules.Current() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+i.Tokens.Admin {
			http.Error(w, "bad token", http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(i.events.Events())
	})
	return mux
}

func (i *Instance) recordFailure(e suture.Event) {
	i.events.Record(event.Event{Code: event.ServiceFailed, Detail: e.String()})
}
