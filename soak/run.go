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

// Soak is one seeded run. Its exported fields are set before Run.
type Soak struct {
	Binary    string // the program
	Seed      uint64
	Length    time.Duration
	Instances int
	Out       io.Writer
}

// Times of a run.
const (
	faultPause = 700 * time.Millisecond // mean between faults
	faultTime  = 1500 * time.Millisecond
	healTime   = 10 * time.Second // without faults before the last checks: longer than a call and a graceful end
	recovered  = 0.9              // of the requests after that must be served
	lastCalls  = 40
)

// Run runs the world under faults and returns the broken promises.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	dir, err := os.MkdirTemp("", "teaselgate-soak-")
	if err != nil {
		return nil, fmt.Errorf("soak: unable to make a directory: %w", err)
	}
	w, err := newWorld(ctx, s.Binary, dir, s.Instances)
	if w != nil {
		defer w.end()
	}
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { w.beat(ctx) })
	clients := newClients(w, s.Seed)
	traffic, end := context.WithTimeout(ctx, s.Length)
	defer end()
	for n := range clientCount {
		work.Go(func() { clients.run(traffic, n) })
	}
	s.faults(traffic, w)
	s.heal(w)
	wait(ctx, healTime)
	clients.last(ctx, lastCalls)
	broken := clients.check()
	if kept := w.keepLogs(len(broken) > 0); kept != "" {
		fmt.Fprintf(s.Out, "logs: %s\n", kept)
	}
	fmt.Fprintf(s.Out, "seed %d: %s\n", s.Seed, clients.summary())
	return broken, nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// faults injects faults, which overlap, until the context ends.
func (s *Soak) faults(ctx context.Context, w *world) {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		f := s.draw(random, w)
		length := time.Duration(random.Int64N(int64(2 * faultTime)))
		running.Go(func() {
			f.begin()
			wait(ctx, length)
			f.end()
		})
		wait(ctx, time.Duration(random.Int64N(int64(2*faultPause))))
	}
}

// fault is a failure that is injected, and its end.
type fault struct{ begin, end func() }

// draw chooses a fault.
func (s *Soak) draw(random *rand.Rand, w *world) fault {
	process := w.processes[random.IntN(len(w.processes))]
	m := w.members[random.IntN(len(w.members))]
	toStore := w.storeProxy[random.IntN(len(w.storeProxy))]
	how := mode(1 + random.IntN(int(modes)-1))
	restart := func() {
		if err := process.start(); err != nil {
			fmt.Fprintln(s.Out, err)
		}
	}
	faults := []fault{
		{func() { process.stop(syscall.SIGKILL) }, restart},
		{func() { process.stop(syscall.SIGTERM) }, restart},
		{func() { process.signal(syscall.SIGHUP) }, func() {}},
		{func() { process.signal(syscall.SIGSTOP) }, func() { process.signal(syscall.SIGCONT) }},
		{func() { m.proxy.set(how) }, func() { m.proxy.set(pass) }},
		{m.proxy.reset, func() {}},
		{func() { toStore.set(how) }, func() { toStore.set(pass) }},
		{func() { w.store.SetFaults(store.Faults{Outage: true}) }, func() { w.store.SetFaults(store.Faults{}) }},
		{w.store.DropHistory, func() {}},
		{func() { m.server.SetFaults(serverFault(random.IntN(serverFaults))) }, func() { m.server.SetFaults(backend.Faults{}) }},
	}
	return faults[random.IntN(len(faults))]
}

const serverFaults = 6

func serverFault(n int) backend.Faults {
	return []backend.Faults{{Fail: true}, {Reject: true}, {LoseResponse: true}, {Truncate: true}, {OmitSeal: true}, {AbortAfterEvents: 4}}[n%serverFaults]
}

// heal ends all faults.
func (s *Soak) heal(w *world) {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			fmt.Fprintln(s.Out, err)
		}
	}
	for _, m := range w.members {
		m.proxy.set(pass)
		m.server.SetFaults(backend.Faults{})
	}
	for _, p := range w.storeProxy {
		p.set(pass)
	}
	w.store.SetFaults(store.Faults{})
}

// wholeStream is what a stream of the emulated engines holds.
func wholeStream(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}
