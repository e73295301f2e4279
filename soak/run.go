package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	store "teaselgate/standin/platform"

	"teaselgate/standin/backend"
)

// Soak is one seeded run. Its exported fields must be set before Run.
type Soak struct {
	Binary    string // path of the program
	Seed      uint64
	Length    time.Duration // how long requests are sent under faults
	Instances int
	Out       io.Writer
}

// Times and sizes of a run. The recovery time is longer than the deadline of a request and the grace period of a
// shutdown.
const (
	meanFaultInterval = 700 * time.Millisecond  // mean time from the start of a fault to that of the next
	meanFaultDuration = 1500 * time.Millisecond // mean duration of a fault
	recoveryTime      = 10 * time.Second        // time between the faults and the final requests
	settleTime        = time.Second             // after the last request: engines keep a computed prompt for half of it, and one may just have crashed
	minServedShare    = 0.9                     // share of the final requests that must be served
	finalRequests     = 40                      // number of requests after the recovery time
)

// Run starts the environment, sends requests under faults, and returns a description of each violated guarantee.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	dir, err := os.MkdirTemp("", "teaselgate-soak-")
	if err != nil {
		return nil, fmt.Errorf("soak: unable to make a directory: %w", err)
	}
	env, err := newEnvironment(ctx, s.Binary, dir, s.Instances)
	if env != nil {
		defer env.stop()
	}
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { env.registerServers(ctx) })
	clients := newClients(env, s.Seed)
	trafficCtx, stopTraffic := context.WithTimeout(ctx, s.Length)
	defer stopTraffic()
	for n := range clientCount {
		background.Go(func() { clients.run(trafficCtx, n) })
	}
	for n := range limitedServers {
		background.Go(func() { s.nameLimits(trafficCtx, env, n) })
	}
	background.Go(func() { s.evacuateZones(trafficCtx, env) })
	background.Go(func() { s.sendCrowds(trafficCtx, env) })
	background.Go(func() { env.watchMemory(ctx) })
	s.injectFaults(trafficCtx, env)
	s.endFaults(env)
	wait(ctx, recoveryTime)
	clients.sendFinal(ctx, finalRequests)
	s.stopInSeries(ctx, env, clients)
	wait(ctx, settleTime)
	violations := clients.check()
	if logDir := env.cleanUpLogs(len(violations) > 0); logDir != "" {
		fmt.Fprintf(s.Out, "logs: %s\n", logDir)
	}
	fmt.Fprintf(s.Out, "seed %d: %s\n", s.Seed, clients.summary())
	return violations, nil
}

// wait waits for d or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// injectFaults injects faults, which may overlap, until the context ends, and ends those that it began.
func (s *Soak) injectFaults(ctx context.Context, env *environment) {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		f := s.chooseFault(random, env)
		duration := time.Duration(random.Int64N(int64(2 * meanFaultDuration)))
		running.Go(func() {
			f.begin()
			wait(ctx, duration)
			f.end()
		})
		wait(ctx, time.Duration(random.Int64N(int64(2*meanFaultInterval))))
	}
}

// fault is a fault to inject: begin injects it, end removes it.
type fault struct{ begin, end func() }

// chooseFault returns a random fault.
func (s *Soak) chooseFault(random *rand.Rand, env *environment) fault {
	process := env.processes[random.IntN(len(env.processes))]
	server := env.servers[random.IntN(len(env.servers))]
	storeProxy := env.storeProxies[random.IntN(len(env.storeProxies))]
	faultMode := mode(1 + random.IntN(int(modeCount)-1)) // any mode except pass
	restart := func() {
		if err := process.start(); err != nil {
			fmt.Fprintln(s.Out, err)
		}
	}
	faults := []fault{
		{func() { process.stop(syscall.SIGKILL) }, restart},
		{func() { process.stop(syscall.SIGTERM) }, restart},
		{func() { process.sendSignal(syscall.SIGHUP) }, func() {}},
		{func() { process.sendSignal(syscall.SIGSTOP) }, func() { process.sendSignal(syscall.SIGCONT) }},
		{func() { server.proxy.setMode(faultMode) }, func() { server.proxy.setMode(pass) }},
		{server.proxy.resetAll, func() {}},
		{func() { storeProxy.setMode(faultMode) }, func() { storeProxy.setMode(pass) }},
		env.disturbingStore(fault{
			func() { env.store.SetFaults(store.Faults{Outage: true}) }, func() { env.store.SetFaults(store.Faults{}) },
		}),
		env.disturbingStore(fault{env.store.DropHistory, func() {}}),
		env.disturbingStore(restoreFault(env.store)),
		{func() { server.backend.SetFaults(backend.Faults{Leaving: true}) }, server.restart},
		{
			func() { server.backend.SetFaults(serverFault(random.IntN(serverFaultKinds))) },
			func() { server.backend.SetFaults(backend.Faults{}) },
		},
	}
	return faults[random.IntN(len(faults))]
}

// restoreFault returns a fault whose end restores the store from a copy of its begin: what was written meanwhile is lost.
func restoreFault(s *store.Server) fault {
	var copied store.Backup
	return fault{func() { copied = s.Backup() }, func() { s.Restore(copied) }}
}

// serverFaultKinds is the number of different faults that serverFault can return.
const serverFaultKinds = 10

// serverFault returns the nth fault of a backend server.
func serverFault(n int) backend.Faults {
	return []backend.Faults{
		{Fail: true},
		{Reject: true},
		{LoseResponse: true},
		{Truncate: true},
		{OmitSeal: true},
		{AbortAfterEvents: 4},
		{Reject: true, RetryAfter: []string{"1.5"}},
		{UnsoundHead: "HTTP/1.1 000 Trouble"},
		{UnsoundHead: "HTTP/1.1 200 OK\r\nBad Name: x"},
		{UnsoundHead: "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 200 OK"},
	}[n%serverFaultKinds]
}

// endFaults removes all faults, resumes the instances that are paused, and starts those that are stopped.
func (s *Soak) endFaults(env *environment) {
	for _, p := range env.processes {
		p.sendSignal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			fmt.Fprintln(s.Out, err)
		}
	}
	for _, server := range env.servers {
		server.proxy.setMode(pass)
		server.backend.SetFaults(backend.Faults{})
	}
	for _, p := range env.storeProxies {
		p.setMode(pass)
	}
	env.store.SetFaults(store.Faults{})
}

// expectedStream returns the body that a decode engine sends in a stream of the given number of events.
func expectedStream(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}
