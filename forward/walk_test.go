package forward

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// init fixes the seed of the random tests; -rapid.seed and -rapid.checks on the command line replace the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
}

// step is a change of a server's faults, or some requests, and the time that passes after it.
type step struct {
	server int // of the world's plain, prefill and decode servers
	fault  int // of walkFaults; the last one makes it unreachable
	send   int // requests
	kind   int // of walkKinds
	leave  time.Duration
	pause  time.Duration
}

// walkFaults are the faults of a server, the first one none.
var walkFaults = []backend.Faults{
	{},
	{Fail: true},
	{Shed: true},
	{LoseAnswer: true},
	{Cut: true},
	{Unsealed: true},
	{Foreign: true},
	{Another: true},
	{Silent: true},
	{BreakAfter: 3},
	{NoReport: true},
	{Double: true},
	{Late: 300 * time.Millisecond},
}

// walkKinds are the paths by kind of request, with the number of servers that may run one.
var walkKinds = []struct {
	path string
	runs int
}{{"/order/1", 1}, {"/status/1", 2}, {"/draft/1", 1}, {"/digest/1", 2}}

const (
	walkSteps   = 20
	walkServers = 7 // of a world
	walkSettle  = 15 * time.Second
	lateAnswer  = 100 * time.Millisecond // an answer may come after its deadline
)

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{
			server: rapid.IntRange(0, walkServers-1).Draw(t, "server"),
			fault:  rapid.IntRange(0, len(walkFaults)).Draw(t, "fault"),
			send:   rapid.IntRange(0, 6).Draw(t, "send"),
			kind:   rapid.IntRange(0, len(walkKinds)-1).Draw(t, "kind"),
			pause:  time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
		}
		if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
			s.leave = time.Duration(rapid.IntRange(1, 300).Draw(t, "leave")) * time.Millisecond
		}
		return s
	}), 1, walkSteps).Draw(t, "steps")
}

// walk plays steps in a world and checks what callers and servers saw.
type walk struct {
	world   *world
	sending sync.WaitGroup
	mu      sync.Mutex
	asked   map[string]int  // kind by id
	refused map[string]bool // by id, whether the answer says that it did not run
	broken  []string
}

func (w *walk) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *walk) servers() []*backend.Server {
	return slices.Concat(w.world.plain, w.world.prefill, w.world.decode)
}

func (w *walk) play(steps []step) {
	for _, s := range steps {
		w.apply(s)
		for range s.send {
			w.send(s)
		}
		pass(s.pause)
	}
	for n := range walkServers {
		w.apply(step{server: n})
	}
	w.sending.Wait()
	pass(walkSettle)
	w.check()
}

func (w *walk) apply(s step) {
	server := w.servers()[s.server]
	at := w.world.addressOf(server)
	w.world.setDown(at, s.fault == len(walkFaults))
	if s.fault < len(walkFaults) {
		server.SetFaults(walkFaults[s.fault])
	}
}

func (w *walk) send(s step) {
	id := fmt.Sprintf("w%d", len(w.asked))
	w.asked[id] = s.kind
	a := stream(walkKinds[s.kind].path, id)
	switch s.kind {
	case 0:
		a = order(id)
	case 1:
		a = status(id)
	}
	a.leave = s.leave
	w.sending.Go(func() { w.checkAnswer(a, w.world.ask(a)) })
}

// checkAnswer checks what one caller saw.
func (w *walk) checkAnswer(a ask, got answer) {
	if a.leave > 0 {
		return
	}
	w.mu.Lock()
	w.refused[a.id] = got.Code == http.StatusServiceUnavailable || got.Code == http.StatusTooManyRequests
	w.mu.Unlock()
	if got.took > a.deadline+lateAnswer {
		w.fail("%s %s was answered after %v", a.id, a.path, got.took)
	}
	if got.broken || got.Code != http.StatusOK {
		return
	}
	want := "whole answer of " + a.id
	if a.model {
		want = events(1, 10)
	}
	if got.Body.String() != want {
		w.fail("%s %s got a wrong answer %.80q", a.id, a.path, got.Body)
	}
}

// check checks what the servers saw and hold.
func (w *walk) check() {
	ran := make(map[string]int)
	for _, s := range w.servers() {
		for _, seen := range s.Seen() {
			if seen.Ran && !seen.Prefill {
				ran[seen.ID]++
			}
			if seen.Shows(secret) || seen.Account() != caller.Account {
				w.fail("%s reached %s with the key, or for account %q", seen.ID, s.ID, seen.Account())
			}
		}
		if s.Working() > 0 || s.Used() > 0 {
			w.fail("%s still runs %d requests and holds %d tokens", s.ID, s.Working(), s.Used())
		}
	}
	plain, model := 0, 0
	for id, kind := range w.asked {
		if ran[id] > walkKinds[kind].runs {
			w.fail("%s %s ran %d times", id, walkKinds[kind].path, ran[id])
		}
		if w.refused[id] && ran[id] > 0 {
			w.fail("%s %s was refused as not run, but ran", id, walkKinds[kind].path)
		}
		if kind < 2 {
			plain++
		} else {
			model++
		}
	}
	w.checkArrivals("plain", w.world.plain, plain, 1)
	w.checkArrivals("model", slices.Concat(w.world.prefill, w.world.decode), model, 2)
}

// checkArrivals checks the retry budget of a service at which each request arrives a number of times without retries.
func (w *walk) checkArrivals(service string, servers []*backend.Server, requests, each int) {
	arrivals := 0
	for _, s := range servers {
		arrivals += len(s.Seen())
	}
	if limit := float64(requests)*(float64(each)+budgetShare) + budgetBurst; float64(arrivals) > limit {
		w.fail("%d requests arrived %d times at the %s service, more than %.1f", requests, arrivals, service, limit)
	}
}

// TestWalk plays random faults of servers, lost connections and callers that leave, beside requests of all kinds: nothing
// runs more often than its route allows, what was refused did not run, answers are whole and in time, retries keep to the
// budget, no key reaches a server, and in the end nothing is held.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		var broken []string
		inWorld(t, func(world *world) {
			w := &walk{world: world, asked: make(map[string]int), refused: make(map[string]bool)}
			w.play(steps)
			broken = w.broken
		})
		if len(broken) > 0 {
			r.Fatalf("broken: %q", broken)
		}
	})
}
