package registry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/platform"
)

// init fixes the seed of the random tests. The flags -rapid.seed and -rapid.checks override the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
}

// step is one change of the store or of its faults, and the pause after it.
type step struct {
	kind  string
	n     int // number of a server, or one less than the number of ignored instances
	pause time.Duration
}

// Sizes of a random run.
const (
	runInstances = 5
	runServers   = 3
	maxRunSteps  = 25
)

// drawSteps draws changes of the configuration, servers that join, leave and end, outages, silent watches, dropped
// history, and instances that the store ignores.
func drawSteps(t *rapid.T) []step {
	kinds := []string{
		"configure", "join", "leave", "remove", "down", "up", "silence watches", "resume watches", "drop history",
		"ignore instances", "serve instances", "copy", "restore",
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			n:     rapid.IntRange(0, runServers-1).Draw(t, "n"),
			pause: time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, maxRunSteps).Draw(t, "steps")
}

// randomRun is a store, with the state that all instances must reach and the failures found.
type randomRun struct {
	store    *fakeStore
	version  int                           // newest version of the configuration
	servers  map[int]string                // state of each server by number
	starts   map[int]int                   // number of starts of each server
	copied   fakeBackup                    // copy from which the store is restored
	left     []map[string]bool             // starts of servers that were seen leaving or gone, by instance
	numbers  []int64                       // newest number of the configuration seen, by instance
	seen     []map[string]platform.Version // newest version seen of each object, by instance
	failures []string
}

// apply makes the change of a step.
func (run *randomRun) apply(s step) {
	name := fmt.Sprintf("s%d", s.n)
	switch s.kind {
	case "configure":
		run.version++
		run.store.put(platform.ConfigurationKind, platform.ConfigurationName,
			configurationJSON(run.version, configurationHost(run.version)))
	case "join":
		run.servers[s.n] = "ready"
		run.starts[s.n]++
		run.writeServer(s.n)
	case "leave":
		if run.servers[s.n] != "" {
			run.servers[s.n] = "draining"
			run.writeServer(s.n)
		}
	case "remove":
		if run.servers[s.n] != "" {
			delete(run.servers, s.n)
			run.store.remove(platform.ServerKind, name)
		}
	case "copy":
		run.copied = run.store.backup()
	case "restore":
		run.restore()
	default:
		run.store.set(func() { run.injectFault(s) })
	}
}

// writeServer writes the entry of a server.
func (run *randomRun) writeServer(n int) {
	run.store.put(platform.ServerKind, fmt.Sprintf("s%d", n),
		startedServerJSON(fmt.Sprintf("10.0.0.%d:80", n+1), run.servers[n], run.starts[n]))
}

// restore restores the store from the copy. A second later the operator and the servers have written all again.
func (run *randomRun) restore() {
	run.store.restore(run.copied)
	sleep(time.Second)
	run.store.put(platform.ConfigurationKind, platform.ConfigurationName,
		configurationJSON(run.version, configurationHost(run.version)))
	for n := range runServers {
		if run.servers[n] != "" {
			run.writeServer(n)
			continue
		}
		run.store.remove(platform.ServerKind, fmt.Sprintf("s%d", n))
	}
}

// checkLeft checks that no instance uses a start of a server again which it has seen leaving or gone, and that none went
// back to an earlier configuration.
func (run *randomRun) checkLeft(followers []*Follower) {
	for n, f := range followers {
		f.mu.Lock()
		for id, e := range f.servers {
			server, err := platform.ReadServer(id, e.Data)
			if err != nil {
				continue
			}
			start := fmt.Sprint(id, " ", server.StartedMS)
			if e.Gone || server.Leaving {
				run.left[n][start] = true
			} else if run.left[n][start] {
				run.fail("instance %d uses start %s again", n, start)
			}
		}
		if c := f.decodedConfig; c != nil {
			if c.Version < run.numbers[n] {
				run.fail("instance %d went back from configuration %d to %d", n, run.numbers[n], c.Version)
			}
			run.numbers[n] = c.Version
		}
		f.mu.Unlock()
	}
}

// injectFault starts or ends a fault of the store.
func (run *randomRun) injectFault(s step) {
	switch s.kind {
	case "down", "up":
		run.store.down = s.kind == "down"
	case "silence watches", "resume watches":
		run.store.watchesSilent = s.kind == "silence watches"
	case "drop history":
		run.store.historyStart = run.store.version
	case "ignore instances":
		run.store.ignoredInstances = s.n + 1
	case "serve instances":
		run.store.ignoredInstances = 0
	}
}

// configurationHost returns the host of the route in a version of the configuration.
func configurationHost(version int) string { return fmt.Sprintf("v%d.example", version) }

// checkVersions checks that no instance went back to an older version.
func (run *randomRun) checkVersions(followers []*Follower) {
	for n, f := range followers {
		f.mu.Lock()
		now := map[string]platform.Version{platform.ConfigurationKind: f.config}
		for id, e := range f.servers {
			now[id] = e.Version
		}
		f.mu.Unlock()
		for name, version := range now {
			if version < run.seen[n][name] {
				run.fail("instance %d went back from version %d of %s to %d", n, run.seen[n][name], name, version)
			}
			run.seen[n][name] = version
		}
	}
}

// checkCurrent checks that every instance has what the store holds.
func (run *randomRun) checkCurrent(followers []*Follower) {
	for n, f := range followers {
		view := f.Current()
		if view == nil {
			run.fail("instance %d has no view", n)
			continue
		}
		if _, ok := view.Route(configurationHost(run.version), "/a/x"); !ok {
			run.fail("instance %d does not have configuration %d", n, run.version)
		}
		for s := range runServers {
			server, ok := view.Server(fmt.Sprintf("s%d", s))
			want := run.servers[s]
			if ok != (want != "") || server.Leaving != (want == "draining") {
				run.fail("instance %d has server %d: %v, leaving: %v; its state is %q", n, s, ok, server.Leaving, want)
			}
		}
	}
}

// fail records a failure. The test reports all at its end, outside the bubble of synctest.
func (run *randomRun) fail(format string, args ...any) {
	run.failures = append(run.failures, fmt.Sprintf(format, args...))
}

// Under random changes and faults of the store, no instance may go back to an older version. After the faults all must
// have the newest state within lapseGrace, a retry delay and two intervals of unanswered polls.
func TestInstancesReachNewestStateAfterRandomFaults(t *testing.T) {
	const settleTime = lapseGrace + retryDelay + 2*unansweredPollInterval
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		run := &randomRun{
			store: newFakeStore(), version: 1, servers: map[int]string{0: "ready"}, starts: make(map[int]int),
			numbers: make([]int64, runInstances),
		}
		run.store.put(platform.ConfigurationKind, platform.ConfigurationName, configurationJSON(1, configurationHost(1)))
		run.writeServer(0)
		run.copied = run.store.backup()
		for range runInstances {
			run.left = append(run.left, make(map[string]bool))
			run.seen = append(run.seen, make(map[string]platform.Version))
		}
		runFollowers(t, run.store, runInstances, func(followers []*Follower) {
			for _, s := range steps {
				run.apply(s)
				sleep(s.pause)
				run.checkVersions(followers)
				run.checkLeft(followers)
			}
			run.store.set(func() { run.store.down, run.store.watchesSilent, run.store.ignoredInstances = false, false, 0 })
			sleep(settleTime)
			run.checkVersions(followers)
			run.checkCurrent(followers)
		})
		if len(run.failures) > 0 {
			r.Fatalf("failures after %v: %q", steps, run.failures)
		}
	})
}
