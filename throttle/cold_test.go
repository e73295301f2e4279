package throttle

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/bubble"
	"teaselgate/upstream"
)

// The users' rule on cold servers: in each second, a server gets at most coldFactor times its rate and coldSlack requests.
const (
	coldRate   = 15.0
	coldFactor = 1.5
	coldSlack  = 5
)

// A server that is cold crashes above its rate. Each instance by itself does not know what the others send, so a limit that
// each counted alone would be exceeded as often as there are instances; the loss of the keeper must not lead to that either.
func TestColdServerGetsNoMoreThanItTakesFromAllInstances(t *testing.T) {
	faults := map[string]func(ctx context.Context, f *simFleet){
		"no fault": func(context.Context, *simFleet) {},
		"keeper is paused": func(ctx context.Context, f *simFleet) {
			i := f.instances[0]
			f.disturb(ctx, i, 3*time.Second, func() { i.paused = true }, func() { i.paused = false })
		},
		"fleet is divided": func(ctx context.Context, f *simFleet) { f.divide(ctx, 4*time.Second) },
	}
	for name, fault := range faults {
		for _, size := range []int{9, 84} {
			t.Run(fmt.Sprintf("%s, %d instances", name, size), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { runColdSimulation(t, size, fault) })
			})
		}
	}
}

func runColdSimulation(t *testing.T, size int, fault func(ctx context.Context, f *simFleet)) {
	t.Helper()
	const warmAt, end = 10 * time.Second, 12 * time.Second
	ctx, stop := context.WithTimeout(t.Context(), end)
	defer stop()
	var running sync.WaitGroup
	f := newSimFleet(ctx, 1, size, &running)
	start := time.Now()
	for _, i := range f.instances {
		i.list.Cold = func(upstream.ServerKey) (float64, bool) { return coldRate, time.Since(start) < warmAt }
	}
	s := &simServer{key: server, demand: 200, endAt: start}
	running.Go(func() { f.sendRequests(ctx, s) })
	running.Go(func() {
		if wait(ctx, 2*time.Second) {
			fault(ctx, f)
		}
	})
	<-ctx.Done()
	running.Wait()
	cold, warm, first := 0, 0, 0
	for n, a := range s.sent {
		if a.at.Sub(start) > warmAt {
			warm++
			continue
		}
		cold++
		for a.at.Sub(s.sent[first].at) > time.Second {
			first++
		}
		if got := n + 1 - first; float64(got) > coldRate*coldFactor+coldSlack {
			t.Fatalf("the server got %d requests in a second, %v after the start", got, a.at.Sub(start))
		}
	}
	if want := flappingShare * coldRate * warmAt.Seconds(); float64(cold) < want {
		t.Errorf("the server got %d requests while it was cold, fewer than %.0f", cold, want)
	}
	if float64(warm) < 0.8*s.demand*(end-warmAt).Seconds() {
		t.Errorf("the server got %d requests once it was warm", warm)
	}
}
