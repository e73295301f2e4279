package registry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/platform"
)

// init fixes the seed of the random tests; -rapid.seed and -rapid.checks on the command line replace the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
}

// step is one change of a store or its faults, and the time that passes after it.
type step struct {
	kind  string
	n     int // server, or number of instances that get no answer
	pause time.Duration
}

// Sizes of a walk.
const (
	walkInstances = 5
	walkServers   = 3
	walkSteps     = 25
)

// drawSteps draws operators' changes, servers that come and go, outages, silent watches, lost history and instances
// that the store does not answer.
func drawSteps(t *rapid.T) []step {
	kinds := []string{"configure", "join", "leave", "remove", "down", "up", "deaf", "hears", "forget", "blind", "sight"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			n:     rapid.IntRange(0, walkServers-1).Draw(t, "n"),
			pause: time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, walkSteps).Draw(t, "steps")
}

// walk is a store with the newest of what was written.
type walk struct {
	store   *store
	version int            // of the configuration
	servers map[int]string // state by number
	seen    []map[string]uint64
	broken  []string
}

func (w *walk) apply(s step) {
	name := fmt.Sprintf("s%d", s.n)
	switch s.kind {
	case "configure":
		w.version++
		w.store.put(platform.ConfigurationKind, platform.ConfigurationName, configuration(w.version, hostOf(w.version)))
	case "join":
		w.servers[s.n] = "ready"
		w.store.put(platform.ServerKind, name, entry(fmt.Sprintf("10.0.0.%d:80", s.n+1), "ready"))
	case "leave":
		if w.servers[s.n] != "" {
			w.servers[s.n] = "draining"
			w.store.put(platform.ServerKind, name, entry(fmt.Sprintf("10.0.0.%d:80", s.n+1), "draining"))
		}
	case "remove":
		if w.servers[s.n] != "" {
			delete(w.servers, s.n)
			w.store.remove(platform.ServerKind, name)
		}
	default:
		w.store.set(func() { w.fault(s) })
	}
}

func (w *walk) fault(s step) {
	switch s.kind {
	case "down", "up":
		w.store.down = s.kind == "down"
	case "deaf", "hears":
		w.store.deaf = s.kind == "deaf"
	case "forget":
		w.store.kept = w.store.version
	case "blind":
		w.store.blind = s.n + 1
	case "sight":
		w.store.blind = 0
	}
}

func hostOf(version int) string { return fmt.Sprintf("v%d.example", version) }

// look checks that no instance went back to something older.
func (w *walk) look(followers []*Follower) {
	for n, f := range followers {
		f.mu.Lock()
		now := map[string]uint64{platform.ConfigurationKind: f.config.Version}
		for id, e := range f.servers {
			now[id] = e.Version
		}
		f.mu.Unlock()
		for name, version := range now {
			if version < w.seen[n][name] {
				w.fail("instance %d went back from version %d of %s to %d", n, w.seen[n][name], name, version)
			}
			w.seen[n][name] = version
		}
	}
}

// settled checks that every instance knows what the store holds.
func (w *walk) settled(followers []*Follower) {
	for n, f := range followers {
		view := f.Current()
		if view == nil {
			w.fail("instance %d knows nothing", n)
			continue
		}
		if _, ok := view.Route(hostOf(w.version), "/a/x"); !ok {
			w.fail("instance %d does not have configuration %d", n, w.version)
		}
		for s := range walkServers {
			server, ok := view.Server(fmt.Sprintf("s%d", s))
			want := w.servers[s]
			if ok != (want != "") || server.Leaving != (want == "draining") {
				w.fail("instance %d knows server %d as %v, leaving %v; it is %q", n, s, ok, server.Leaving, want)
			}
		}
	}
}

func (w *walk) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// TestWalk plays random changes and faults of the store: no instance goes back to anything older, and once the faults
// have ended all know the newest within the time in which entries are kept that lapsed, and two readings.
func TestWalk(t *testing.T) {
	const settle = lapseGrace + retryDelay + 2*blindInterval
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		w := &walk{store: newStore(), version: 1, servers: map[int]string{0: "ready"}}
		w.store.put(platform.ConfigurationKind, platform.ConfigurationName, configuration(1, hostOf(1)))
		w.store.put(platform.ServerKind, "s0", entry("10.0.0.1:80", "ready"))
		for range walkInstances {
			w.seen = append(w.seen, make(map[string]uint64))
		}
		run(t, w.store, walkInstances, func(followers []*Follower) {
			for _, s := range steps {
				w.apply(s)
				pass(s.pause)
				w.look(followers)
			}
			w.store.set(func() { w.store.down, w.store.deaf, w.store.blind = false, false, 0 })
			pass(settle)
			w.look(followers)
			w.settled(followers)
		})
		if len(w.broken) > 0 {
			r.Fatalf("broken after %v: %q", steps, w.broken)
		}
	})
}
