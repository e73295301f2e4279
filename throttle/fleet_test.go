package throttle

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/standin/bubble"
	"teaselgate/upstream"
)

// The users' rule on limits.
const (
	contactTime = 3 * time.Second // time that all instances have to learn of a limit
	ruleWindow  = 4 * time.Second
	ruleFactor  = 1.5
	ruleSlack   = 5
)

// Times of the simulated fleet.
const (
	networkDelay  = time.Millisecond
	probeInterval = time.Second
	limitedFor    = 20 * time.Second // how long servers name their limits
	afterwards    = 20 * time.Second // time after that
)

// simInstance is a simulated instance.
type simInstance struct {
	name   string
	list   *List
	paused bool            // answers no calls and sends no requests
	cut    bool            // reaches no other instance, but servers
	side   int             // part of a divided fleet; instances of other sides are not reached
	excuse []time.Time     // begins and ends of its pauses and cuts
	gone   map[string]bool // other instances that it takes for gone
}

// simServer is a simulated backend server.
type simServer struct {
	key     upstream.ServerKey
	rate    float64
	demand  float64     // requests per second that callers want to send to it
	offered []time.Time // when callers' requests came to instances that are not paused
	namedAt time.Time
	endAt   time.Time // from then on it names no limit
	sent    []simArrival
}

type simArrival struct {
	at   time.Time
	from *simInstance
}

// simFleet is a fleet of lists, their network and their servers. It runs in a synctest bubble.
type simFleet struct {
	mu        sync.Mutex
	random    *rand.Rand
	instances []*simInstance
	servers   []*simServer
}

func newSimFleet(ctx context.Context, seed uint64, size int, running *sync.WaitGroup) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 7))}
	for n := range size {
		f.add(ctx, fmt.Sprintf("i%03d", n), running)
	}
	return f
}

// add starts an instance.
func (f *simFleet) add(ctx context.Context, name string, running *sync.WaitGroup) {
	i := &simInstance{name: name, list: NewList(), gone: make(map[string]bool)}
	i.list.Peers = func() []string { return f.reachable(i) }
	i.list.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return f.call(ctx, i, address, method, args, reply)
	}
	i.list.Keeper = func(upstream.ServerKey) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, other := range f.instances {
			if !i.gone[other.name] {
				if other == i {
					return ""
				}
				return other.name
			}
		}
		return ""
	}
	i.list.Reachable = func() (int, int) {
		reached := len(f.reachable(i)) + 1
		f.mu.Lock()
		defer f.mu.Unlock()
		return reached, len(f.instances)
	}
	i.list.Record = func(event.Event) {}
	f.mu.Lock()
	i.list.Random = rand.New(rand.NewPCG(f.random.Uint64(), 1)).Float64 // called under the list's lock
	f.instances = append(f.instances, i)
	f.mu.Unlock()
	running.Go(func() { _ = i.list.Serve(ctx) })
	running.Go(func() { f.probe(ctx, i) })
}

func (f *simFleet) reachable(i *simInstance) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, other := range f.instances {
		if other != i && !i.gone[other.name] {
			out = append(out, other.name)
		}
	}
	return out
}

// probe exchanges digests with random peers, as the membership does.
func (f *simFleet) probe(ctx context.Context, i *simInstance) {
	for wait(ctx, probeInterval) {
		peers := f.reachable(i)
		for range min(2, len(peers)) {
			f.mu.Lock()
			address := peers[f.random.IntN(len(peers))]
			other, ok := f.connected(i, address)
			f.mu.Unlock()
			if ok {
				i.list.ExchangeIfDifferent(address, other.list.Digest())
			}
		}
	}
}

// connected returns another instance, and whether it answers calls of i. The caller holds the lock.
func (f *simFleet) connected(i *simInstance, address string) (*simInstance, bool) {
	n := slices.IndexFunc(f.instances, func(o *simInstance) bool { return o.name == address })
	if n < 0 {
		return nil, false
	}
	other := f.instances[n]
	return other, i.side == other.side && !i.cut && !i.paused && !other.cut && !other.paused
}

// call calls a method of another instance. Without a connection it waits for the end of the context.
func (f *simFleet) call(ctx context.Context, i *simInstance, address, method string, args, reply any) error {
	f.mu.Lock()
	other, ok := f.connected(i, address)
	f.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	if !wait(ctx, 2*networkDelay) {
		return ctx.Err()
	}
	receiver := other.list.Receiver()
	switch strings.TrimPrefix(method, RPCName+".") {
	case "Tell":
		return receiver.Tell(args.(Statements), reply.(*TellReply))
	case "Exchange":
		return receiver.Exchange(args.(Statements), reply.(*Statements))
	case "Take":
		return receiver.Take(args.(TakeArgs), reply.(*TakeReply))
	default:
		return errors.ErrUnsupported
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// sendRequests sends requests to a server, each through a random instance, until the context ends.
func (f *simFleet) sendRequests(ctx context.Context, s *simServer) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		f.mu.Lock()
		pause := time.Duration(f.random.ExpFloat64() / s.demand * float64(time.Second))
		i := f.instances[f.random.IntN(len(f.instances))]
		f.mu.Unlock()
		if !wait(ctx, pause) {
			return
		}
		f.mu.Lock()
		paused := i.paused
		if !paused {
			s.offered = append(s.offered, time.Now())
		}
		f.mu.Unlock()
		if !paused {
			sending.Go(func() { f.sendRequest(ctx, i, s) })
		}
	}
}

func (f *simFleet) sendRequest(ctx context.Context, i *simInstance, s *simServer) {
	if i.list.Acquire(ctx, s.key, ForRequest) != nil {
		return
	}
	sent := time.Now()
	if !wait(ctx, networkDelay) {
		return
	}
	f.mu.Lock()
	s.sent = append(s.sent, simArrival{time.Now(), i})
	f.mu.Unlock()
	if !wait(ctx, 20*time.Millisecond) {
		return
	}
	now := time.Now()
	limited := now.Before(s.endAt)
	f.mu.Lock()
	if limited && s.namedAt.IsZero() {
		s.namedAt = now
	}
	rate := s.rate
	f.mu.Unlock()
	if wait(ctx, networkDelay) {
		i.list.Observe(s.key, Answer{Kind: Run, Limited: limited, Rate: rate, SentAt: sent})
	}
}

// disturb runs a fault at an instance, of which the others take notice after some time.
func (f *simFleet) disturb(ctx context.Context, i *simInstance, length time.Duration, begin, end func()) {
	f.change(i, begin)
	if wait(ctx, 2*time.Second) {
		f.setGone(i, true)
	}
	wait(ctx, length-2*time.Second)
	f.change(i, end)
	if wait(ctx, time.Second) {
		f.setGone(i, false)
	}
}

func (f *simFleet) change(i *simInstance, change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	i.excuse = append(i.excuse, time.Now())
}

// setGone sets whether an instance and the others take each other for gone.
func (f *simFleet) setGone(i *simInstance, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.instances {
		if other != i {
			other.gone[i.name] = gone
			i.gone[other.name] = gone && i.cut
		}
	}
}

// divide parts the fleet in two for some time, of which the instances take notice after a while. No instance is excused.
func (f *simFleet) divide(ctx context.Context, length time.Duration) {
	setSides := func(side int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, i := range f.instances[len(f.instances)/2:] {
			i.side = side
		}
	}
	setGone := func(gone bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for n, i := range f.instances {
			for m, other := range f.instances {
				if half := len(f.instances) / 2; (n < half) != (m < half) {
					i.gone[other.name] = gone
				}
			}
		}
	}
	setSides(1)
	wait(ctx, 2*time.Second)
	setGone(true)
	wait(ctx, length-2*time.Second)
	setSides(0)
	wait(ctx, time.Second)
	setGone(false)
}

// lowerLimits has all servers name half of their limits.
func (f *simFleet) lowerLimits() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.rate /= 2
		s.namedAt = time.Time{}
	}
}

// excused reports whether an instance was disturbed at a time or shortly before.
func (i *simInstance) excused(at time.Time) bool {
	for n := 0; n < len(i.excuse); n += 2 {
		if !at.Before(i.excuse[n]) && (n+1 == len(i.excuse) || at.Before(i.excuse[n+1].Add(contactTime))) {
			return true
		}
	}
	return false
}

// check checks the users' rule on one server, and that it got its share.
func (f *simFleet) check(t *testing.T, s *simServer, minShare float64) {
	t.Helper()
	var counted []time.Time
	share := 0.0
	from := s.namedAt.Add(contactTime)
	for _, a := range s.sent {
		if a.at.Before(from) || a.at.After(s.endAt) {
			continue
		}
		share++
		if !a.from.excused(a.at) {
			counted = append(counted, a.at)
		}
	}
	allowed := ruleFactor*s.rate*ruleWindow.Seconds() + ruleSlack
	first := 0
	for n, at := range counted {
		for at.Sub(counted[first]) > ruleWindow {
			first++
		}
		if got := n + 1 - first; float64(got) > allowed {
			t.Errorf("server of %.2f/s got %d requests in %v, allowed %.1f, %v after it named its limit",
				s.rate, got, ruleWindow, allowed, at.Sub(s.namedAt))
			return
		}
	}
	wanted := min(s.rate*s.endAt.Sub(from).Seconds(), countBetween(s.offered, from, s.endAt))
	if share < minShare*wanted-2*math.Sqrt(wanted) {
		t.Errorf("server of %.2f/s, wanted %.1f/s, got %.0f requests of %.1f in %v", s.rate, s.demand, share, wanted, s.endAt.Sub(from))
	}
	// The end of a limit is heard with the next answer, which a low limit delays.
	ended := s.endAt.Add(contactTime + seconds(endAnswers/(minShare*s.rate)))
	after := 0.0
	for _, a := range s.sent {
		if a.at.After(ended) {
			after++
		}
	}
	if offered := countBetween(s.offered, ended, ended.Add(time.Hour)); after < offered-math.Sqrt(offered) {
		t.Errorf("server of %.2f/s got %.0f requests of %.0f after the end of its limit", s.rate, after, offered)
	}
}

// endAnswers is the number of answers of a limited server within which its instances hear of the end of the limit.
const endAnswers = 4

func countBetween(times []time.Time, from, to time.Time) float64 {
	n := 0.0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Parts of its limit, or of its requests if they are fewer, that a server must get, less twice the standard deviation of
// random arrivals.
const (
	usualShare    = 0.7
	flappingShare = 0.5 // while the keeper is away for most of the time
)

// Several servers name limits while instances pause, are cut off or start. Not even the keeper's loss may let a server get
// more requests than it takes.
func TestServersGetNoMoreThanTheyTakeWhileInstancesFail(t *testing.T) {
	cases := []struct {
		name  string
		size  int
		share float64
		fault func(ctx context.Context, f *simFleet, running *sync.WaitGroup)
	}{
		{"no fault", 9, usualShare, func(context.Context, *simFleet, *sync.WaitGroup) {}},
		{"keeper is paused", 9, usualShare, func(ctx context.Context, f *simFleet, _ *sync.WaitGroup) {
			i := f.instances[0]
			f.disturb(ctx, i, 5*time.Second, func() { i.paused = true }, func() { i.paused = false })
		}},
		{"keeper is paused for a moment, again and again", 9, flappingShare, func(ctx context.Context, f *simFleet, _ *sync.WaitGroup) {
			i := f.instances[0]
			for ctx.Err() == nil {
				f.change(i, func() { i.paused = true })
				wait(ctx, 700*time.Millisecond)
				f.change(i, func() { i.paused = false })
				wait(ctx, 300*time.Millisecond)
			}
		}},
		{"keeper is cut off", 9, usualShare, func(ctx context.Context, f *simFleet, _ *sync.WaitGroup) {
			i := f.instances[0]
			f.disturb(ctx, i, 8*time.Second, func() { i.cut = true }, func() { i.cut = false })
		}},
		{"other instances are paused", 9, usualShare, func(ctx context.Context, f *simFleet, _ *sync.WaitGroup) {
			for _, i := range f.instances[5:] {
				f.change(i, func() { i.paused = true })
			}
			wait(ctx, 4*time.Second)
			for _, i := range f.instances[5:] {
				f.change(i, func() { i.paused = false })
			}
		}},
		{"fleet is divided", 9, usualShare, func(ctx context.Context, f *simFleet, _ *sync.WaitGroup) {
			f.divide(ctx, 8*time.Second)
		}},
		{"limits are lowered", 9, usualShare, func(_ context.Context, f *simFleet, _ *sync.WaitGroup) {
			f.lowerLimits()
		}},
		{"instances start", 3, usualShare, func(ctx context.Context, f *simFleet, running *sync.WaitGroup) {
			for n := range 3 {
				f.add(ctx, fmt.Sprintf("new%d", n), running)
				wait(ctx, time.Second)
			}
		}},
		{"keeper is paused in a large fleet", 120, usualShare, func(ctx context.Context, f *simFleet, _ *sync.WaitGroup) {
			i := f.instances[0]
			f.disturb(ctx, i, 5*time.Second, func() { i.paused = true }, func() { i.paused = false })
		}},
	}
	for _, c := range cases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { runSimulation(t, seed, c.size, c.share, c.fault) })
			})
		}
	}
}

func runSimulation(
	t *testing.T, seed uint64, size int, minShare float64, fault func(ctx context.Context, f *simFleet, running *sync.WaitGroup),
) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), limitedFor+afterwards)
	defer stop()
	var running sync.WaitGroup
	f := newSimFleet(ctx, seed, size, &running)
	start := time.Now()
	for n, rate := range []float64{0.25, 0.7, 5.8, 21} {
		s := &simServer{
			key:  upstream.ServerKey{Server: fmt.Sprint("s", n), Address: fmt.Sprint("10.0.0.", n, ":80")},
			rate: rate, demand: rate * []float64{0.8, 1.5, 8}[f.random.IntN(3)], endAt: start.Add(limitedFor),
		}
		f.servers = append(f.servers, s)
	}
	for _, s := range f.servers {
		running.Go(func() { f.sendRequests(ctx, s) })
	}
	running.Go(func() {
		if wait(ctx, 6*time.Second) {
			fault(ctx, f, &running)
		}
	})
	<-ctx.Done()
	running.Wait()
	for _, s := range f.servers {
		if s.namedAt.IsZero() {
			continue // no request came
		}
		f.check(t, s, minShare)
	}
}
