// Package instance builds one teaselgate process from the other packages and runs its services under a supervisor.
package instance

import (
	"context"
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
	"teaselgate/certificate"
	"teaselgate/clock"
	"teaselgate/config"
	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/limit"
	"teaselgate/metric"
	"teaselgate/option"
	"teaselgate/order"
	"teaselgate/outcome"
	"teaselgate/peer"
	"teaselgate/platform"
	"teaselgate/quarantine"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/shutdown"
	"teaselgate/slot"
	"teaselgate/socket"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// Instance is one teaselgate process, which serves callers together with the other instances of the fleet. Its exported
// fields must be set before Open. Fields below that are marked "rules only" are nil if the configuration comes from the
// platform store, and those marked "store only" if it comes from a rules file.
type Instance struct {
	Options   *option.Options
	Secrets   option.Secrets
	Log       *logrus.Logger
	LogWriter *event.AsyncWriter // output of Log, for the count of dropped lines; may be nil

	BalancerDelay   time.Duration // time from reporting not ready to closing the caller listener
	ShutdownTimeout time.Duration // limit for requests in flight to complete; zero means defaultShutdownTimeout

	incarnation     uint64
	events          *event.Recorder
	platform        *platform.Client
	leaseClock      *clock.Clock // for leases, which must not outlast a suspension of the host
	peers           *peer.Pool
	peerServer      *peer.Server
	fleet           *fleet.Fleet
	rules           *config.Follower   // rules only
	allowance       *allowance.Limiter // rules only
	admit           admitFunc          // rules only
	placer          *cell.Placer
	handler         http.Handler       // serves callers' requests
	registry        *registry.Follower // store only
	plain           *slot.Picker       // servers of plain services, by what this instance alone knows
	slotKeeper      *slot.Keeper
	slots           *slot.Client
	slotServers     rule.Directory
	connectionPool  *upstream.Pool      // store only
	debitReporter   *cell.DebitReporter // store only
	retryBudgets    *retryBudgets       // store only
	engines         *engine.Client
	services        *service.Client
	claims          *outcome.ClaimStore // rules only
	canceller       *outcome.Canceller  // rules only
	listeners       listeners
	limitedListener *limit.Listener // caller listener with the connection limit
	requestMetrics  *metric.Handler
	metrics         *metric.Metrics
	orderRecords    *order.RecordFollower // rules only
	callerTLS       *certificate.Store    // nil if the caller listener is without TLS
	adminTLS        *certificate.Store    // nil if the admin listener is without TLS
	leaving         atomic.Bool
	shutdownPlan    atomic.Pointer[shutdown.Plan] // nil while the instance is not leaving
	accepting       context.Context               // ends when the instance, which is leaving, accepts no more connections
	endAccepting    context.CancelFunc
	storeRestored   chan struct{}                  // receives a value when the platform store was restored
	backoff         *upstream.Backoff              // backend servers that want no requests
	shares          limit.Shares                   // parts of the machine for those who call the instance
	memory          *limit.Memory                  // for what is held for slow callers and servers
	throttle        *throttle.List                 // limits of requests per second that backend servers name
	quarantine      *quarantine.List               // parts of prompts that crash engines
	reloaded        atomic.Pointer[option.Options] // settings of the last reload; nil before the first
}

type listeners struct {
	caller net.Listener
	admin  net.Listener
	peer   net.Listener

	metrics net.Listener // nil if Options.Metrics is empty
}

// Open binds the listeners, so that their addresses are known before Run.
func (i *Instance) Open(ctx context.Context) error {
	for _, l := range []struct {
		address string
		out     *net.Listener
	}{
		{i.Options.Listen, &i.listeners.caller},
		{i.Options.Admin, &i.listeners.admin},
		{i.Options.Peer, &i.listeners.peer},
	} {
		listener, err := socket.Listen(ctx, l.address)
		if err != nil {
			return err
		}
		*l.out = listener
	}
	if i.Options.Metrics == "" {
		return nil
	}
	var err error
	i.listeners.metrics, err = socket.Listen(ctx, i.Options.Metrics)
	return err
}

// Address returns the address of the caller listener.
func (i *Instance) Address() string { return i.listeners.caller.Addr().String() }

// AdminAddress returns the address of the admin listener.
func (i *Instance) AdminAddress() string { return i.listeners.admin.Addr().String() }

// PeerAddress returns the address of the listener for other instances.
func (i *Instance) PeerAddress() string { return i.listeners.peer.Addr().String() }

// MetricsAddress returns the address of the metrics listener, or an empty string if there is none.
func (i *Instance) MetricsAddress() string {
	if i.listeners.metrics == nil {
		return ""
	}
	return i.listeners.metrics.Addr().String()
}

// Run serves until the context ends or a listener fails. It then waits for the requests in flight and shuts down.
func (i *Instance) Run(ctx context.Context) error {
	supervisor := suture.New(i.Options.Name, suture.Spec{EventHook: i.recordSupervisorEvent})
	if err := i.build(supervisor); err != nil {
		i.closeListeners()
		i.close()
		return err
	}
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	caller := i.newCallerServer()
	abortRequests := i.prepareShutdown(caller)
	defer abortRequests(nil)
	admin := i.newAdminServer()
	done := supervisor.ServeBackground(background)
	go func() { fail(caller.Serve(i.limitedListener)) }()
	go func() { fail(admin.Serve(i.limitOperators(admin, i.listeners.admin, i.adminTLS))) }()
	metrics := i.newMetricsServer()
	if i.listeners.metrics != nil {
		go func() { fail(metrics.Serve(i.limitOperators(metrics, i.listeners.metrics, nil))) }()
	}
	go i.keepEntryStored(background)
	i.events.Record(event.Event{Code: event.InstanceStarted, Detail: i.Address()})
	<-ctx.Done()
	err := errors.Join(listenerFailure(ctx), i.leave(background, caller, abortRequests))
	admin.Close()
	metrics.Close()
	stop()
	if stopped := <-done; !errors.Is(stopped, context.Canceled) {
		err = errors.Join(err, stopped)
	}
	i.close()
	return err
}

// build creates the components of the instance, dependencies first, and adds their services to the supervisor.
func (i *Instance) build(supervisor *suture.Supervisor) error {
	i.incarnation = uint64(time.Now().UnixNano())
	i.accepting, i.endAccepting = context.WithCancel(context.Background())
	i.events = event.NewRecorder(i.Options.Name, i.Log)
	i.platform = platform.NewClient(i.Options.Platform, i.Secrets.Platform)
	i.storeRestored = make(chan struct{}, 1)
	i.backoff = upstream.NewBackoff()
	limits := i.Options.Limit
	i.shares = limit.NewShares(limit.FindMachine(limits.Process, limits.Descriptors), limits, i.Options.TLS.Enabled())
	i.memory = limit.NewBodyMemory(i.shares.Bodies)
	i.throttle = throttle.NewList()
	i.throttle.Record = i.events.Record
	i.platform.OnRestored = i.recordStoreRestored
	i.leaseClock = clock.New()
	i.peers = peer.NewPool(i.Secrets.Peer)
	i.peerServer = peer.NewServer(i.listeners.peer, i.Secrets.Peer)
	i.peerServer.MaxConnections, i.peerServer.MaxStrangers = i.shares.Peers, i.shares.Strangers
	stamps := peer.Clock{
		Next:    func() uint64 { return uint64(i.events.Clock.Next()) },
		Observe: func(stamp uint64) { i.events.Clock.Observe(event.Stamp(stamp)) },
	}
	i.peers.Clock, i.peerServer.Clock = stamps, stamps
	i.engines = engine.NewClient()
	i.services = service.NewClient()
	for _, step := range i.buildSteps() {
		if err := step(supervisor); err != nil {
			return err
		}
	}
	supervisor.Add(i.peerServer)
	return nil
}

// buildSteps returns the functions that build the components, in the order to run them. With the configuration in the
// platform store, the dispatchers enforce the client accounts' rates, engines free the resources of requests whose
// callers have disconnected, and no idempotency keys are claimed.
func (i *Instance) buildSteps() []func(*suture.Supervisor) error {
	if i.Options.Source == option.SourceStore {
		return []func(*suture.Supervisor) error{
			i.buildCertificates, i.buildRegistry, i.buildFleet, i.buildQuarantine, i.buildCell, i.buildThrottle, i.buildSlots, i.buildForward,
			i.buildStageBalancers, i.buildMetrics,
		}
	}
	return []func(*suture.Supervisor) error{
		i.buildCertificates, i.buildConfig, i.buildFleet, i.buildQuarantine, i.buildOrder, i.buildAllowance, i.buildCell, i.buildSlots,
		i.buildOutcome, i.buildMetrics,
	}
}

// ruleSet returns the rules in force, or nil before the first revision.
func (i *Instance) ruleSet() *rule.Set {
	if i.registry == nil {
		return i.rules.Rules()
	}
	if view := i.registry.Current(); view != nil {
		return view.Rules
	}
	return nil
}

// owner returns the name that identifies this run of the instance at engines, in leases and in claims.
func (i *Instance) owner() string {
	return fmt.Sprintf("%s-%d", i.Options.Name, i.incarnation)
}

func (i *Instance) close() {
	i.engines.Close()
	i.services.Close()
	i.peers.Close()
	i.platform.HTTP.CloseIdleConnections()
	if i.connectionPool != nil {
		i.connectionPool.Close()
	}
	if i.metrics != nil {
		_ = i.metrics.Close()
	}
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.listeners.caller, i.listeners.admin, i.listeners.peer} {
		l.Close()
	}
	if i.listeners.metrics != nil {
		i.listeners.metrics.Close()
	}
}

// listenerFailure returns the error of the listener that stopped the instance, or nil if the context ended otherwise.
func listenerFailure(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("instance: a listener failed: %w", cause)
}

// recordSupervisorEvent records each event of the supervisor, such as the failure of a service, as ServiceFailed.
func (i *Instance) recordSupervisorEvent(e suture.Event) {
	i.events.Record(event.Event{Code: event.ServiceFailed, Detail: e.String()})
}
