package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"teaselgate/standin/backend"
)

// Requests that crash the servers that run them. Each kind comes again with the same path, caller and body.
const (
	deadlyRequestShare = 0.06 // of all requests
	deadlyPaths        = 3    // different ones in a run
	crashesToKnow      = 3    // servers that a request may crash before all instances must know it
	maxLateRetries     = 3    // times that it may be sent later than contactTime after that
)

// The kinds of deadly requests: one crashes servers at once, one late, one only every second server, and one model request
// crashes prefill engines.
const (
	crashesAtOnce = iota
	crashesLate
	crashesSome
	crashesPrefill
	deadlyKinds
)

const (
	deadlyName     = "deadly"
	lateCrashAfter = 110 * time.Millisecond // later than the cut of an attempt that can be retried
)

// deadlyPath returns the path of a kind of deadly requests on the route with the given path. Plain services have no prefill.
func deadlyPath(path string, kind int) string {
	if kind == crashesPrefill && !strings.HasPrefix(path, "/d") {
		kind = crashesAtOnce
	}
	return fmt.Sprint(strings.TrimSuffix(path, "1"), deadlyName, kind)
}

// chooseDeadlyPaths returns the paths of the deadly requests of a run.
func chooseDeadlyPaths(seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 2))
	out := make([]string, 0, deadlyPaths)
	for range deadlyPaths {
		out = append(out, deadlyPath(requestPaths[random.IntN(len(requestPaths))], random.IntN(deadlyKinds)))
	}
	return out
}

// deadlyRequests returns the requests that crash the nth server of its duty.
func deadlyRequests(n int, isPrefill bool) []backend.DeadlyRequest {
	name := func(kind int) string { return fmt.Sprint(deadlyName, kind) }
	if isPrefill {
		return []backend.DeadlyRequest{{Text: name(crashesPrefill), Prefill: true}}
	}
	out := []backend.DeadlyRequest{{Text: name(crashesAtOnce)}, {Text: name(crashesLate), After: lateCrashAfter}}
	if n%2 == 0 {
		out = append(out, backend.DeadlyRequest{Text: name(crashesSome)})
	}
	return out
}

// checkDeadlyRequests checks that requests which had crashed servers were not sent on to others, once all instances had to
// know them.
func (c *clients) checkDeadlyRequests(results []result) {
	addresses, paths := make(map[string]string), make(map[string]bool)
	for _, res := range results {
		addresses[res.id] = res.address
		paths[res.path] = paths[res.path] || res.crashes
	}
	for path, isDeadly := range paths {
		if !isDeadly {
			continue
		}
		crashes := c.crashesUnder(path)
		if len(crashes) < crashesToKnow {
			continue
		}
		known, late := crashes[crashesToKnow-1].Add(contactTime), 0
		for _, b := range c.env.servers {
			for _, r := range b.backend.Received() {
				if r.Path == path && r.ReceivedAt.After(known) && !c.env.isDisturbed(addresses[r.ID], r.ReceivedAt) {
					late++
				}
			}
		}
		if late > maxLateRetries {
			c.addViolation("%s was sent to servers %d times after it had crashed %d", path, late, len(crashes))
		}
	}
}

// crashesUnder returns when requests with a path crashed servers, oldest first.
func (c *clients) crashesUnder(path string) []time.Time {
	out := make([]time.Time, 0, len(c.env.servers))
	for _, b := range c.env.servers {
		out = append(out, b.backend.CrashesUnder(path)...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// crashedDuring reports whether a server crashed in a time. New deadly requests may end all servers of a duty, so that no
// request is served until they are back.
func (c *clients) crashedDuring(from, to time.Time) bool {
	return slices.ContainsFunc(c.env.servers, func(b *backendServer) bool {
		return slices.ContainsFunc(b.backend.Crashes(), func(at time.Time) bool { return !at.Before(from) && at.Before(to) })
	})
}
