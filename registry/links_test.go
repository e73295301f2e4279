package registry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/peer"
	"teaselgate/platform"
	"teaselgate/standin/bubble"
	"teaselgate/standin/network"
)

// Sizes of the deployments for which changes must arrive in time.
const (
	narrowLink = 10_000_000 / 8  // bytes a second
	wideLink   = 200_000_000 / 8 // bytes a second
	linkZones  = 3

	// applyBound is the time that the platform gives all instances to put a confirmed configuration in force.
	applyBound = 3 * time.Second
	// otherCallTimeout and otherCallInterval are those of the debits of plain requests.
	otherCallTimeout  = 250 * time.Millisecond
	otherCallInterval = 250 * time.Millisecond
)

// largeConfigurationJSON returns a configuration with many routes, of some 200 bytes each, and one on a host of its own.
func largeConfigurationJSON(version, routes int, host string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[{"name":"r","hostname":%q,"pathPrefix":"/a/","routeType":"idempotent",`+
		`"timeoutMs":1000,"service":"s"}`, version, host)
	for n := range routes {
		fmt.Fprintf(&b, `,{"name":"route-%06d","hostname":"h%06d.example","pathPrefix":"/p%06x/","routeType":"idempotent",`+
			`"timeoutMs":2500,"targetLatencyMs":150,"priority":1,"service":"s","maxAttempts":2,"sticky":false,"resumable":false}`,
			n, n, n*7919)
	}
	b.WriteString(`],"services":[{"name":"s"}],"limits":{},"tenants":[]}`)
	return b.String()
}

// linkedFleet is a fleet of followers that call each other over links of limited rate.
type linkedFleet struct {
	store     *fakeStore
	hosts     []*network.Host
	followers []*Follower
	pools     []*peer.Pool
	failures  atomic.Int64 // number of calls of RelayFailed events

	otherFailures atomic.Int64 // number of other calls between instances that got no reply in time
}

// otherReceiver serves the other calls between instances, which are small.
type otherReceiver struct{}

func (otherReceiver) Debit(_ int, _ *int) error { return nil }

// linkTest is a deployment with a change.
type linkTest struct {
	instances int
	isWide    func(n int) bool // whether an instance has a wide link; the first ones started first
	isCut     func(n int) bool // whether an instance gets no response from the store after its start
	routes    int              // routes of the configuration
	versions  int              // number of versions that follow each other
	gap       time.Duration    // time between two of them
}

// run starts the fleet in fake time and calls test once the first configuration is in force.
func (l linkTest) run(t *testing.T, test func(fleet *linkedFleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		fleet := &linkedFleet{store: newFakeStore()}
		fleet.store.put("config", "main", largeConfigurationJSON(1, 10, "old.example"))
		fleet.store.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
		net := network.New()
		net.Latency = 900 * time.Microsecond
		var running sync.WaitGroup
		for n := range l.instances {
			fleet.add(ctx, t, n, l, net, &running)
		}
		for n, f := range fleet.followers {
			running.Go(func() { _ = f.Serve(ctx) })
			running.Go(func() { fleet.callOthers(ctx, n) })
		}
		sleep(5 * time.Second)
		test(fleet)
		stop()
		for _, p := range fleet.pools {
			p.Close()
		}
		running.Wait()
	})
}

// add adds an instance to the fleet.
func (d *linkedFleet) add(
	ctx context.Context, t *testing.T, n int, l linkTest, net *network.Network, running *sync.WaitGroup,
) {
	rate := narrowLink
	if l.isWide(n) {
		rate = wideLink
	}
	host := net.AddHost(fmt.Sprint(n), rate)
	pool := peer.NewPool("")
	pool.Dial = host.Dial
	started := time.Now()
	type read func(ctx context.Context, kind string, after platform.Version) (platform.List, error)
	overLink := func(read read) read {
		return func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
			if l.isCut(n) && time.Since(started) > time.Second {
				<-ctx.Done()
				return platform.List{}, platform.ErrUnavailable
			}
			list, err := read(ctx, kind, after)
			for _, o := range list.Objects {
				if receiveErr := host.Receive(ctx, len(o.Data)); receiveErr != nil {
					return platform.List{}, platform.ErrUnavailable
				}
			}
			return list, err
		}
	}
	f := NewFollower(overLink(d.store.watch))
	f.Changes = overLink(d.store.changes)
	f.Newest = func(ctx context.Context) (platform.Version, error) {
		list, err := overLink(func(context.Context, string, platform.Version) (platform.List, error) {
			version, err := d.store.newest()
			return platform.List{Version: version}, err
		})(ctx, "", 0)
		return list.Version, err
	}
	f.Self, f.Call = fmt.Sprint(n), pool.Call
	f.StartRank = func() int { return n }
	f.Peers = func() []string { return linkPeers(n, l.instances, 1) }
	f.NearPeers = func() []string { return linkPeers(n, l.instances, linkZones) }
	f.Record = func(e event.Event) {
		if e.Code == event.RelayFailed {
			d.failures.Add(1)
		}
	}
	server := peer.NewServer(host, "")
	for name, receiver := range map[string]any{RPCName: f.Receiver(), "Other": otherReceiver{}} {
		if err := server.Register(name, receiver); err != nil {
			t.Error(err)
		}
	}
	running.Go(func() { _ = server.Serve(ctx) })
	d.hosts, d.followers, d.pools = append(d.hosts, host), append(d.followers, f), append(d.pools, pool)
}

// linkPeers returns the addresses of the instances whose numbers are others of the same residue.
func linkPeers(n, instances, modulus int) []string {
	var out []string
	for m := n % modulus; m < instances; m += modulus {
		if m != n {
			out = append(out, fmt.Sprint(m))
		}
	}
	return out
}

// callOthers makes the calls by which an instance takes part in the work of the fleet, all to the same peer.
func (d *linkedFleet) callOthers(ctx context.Context, n int) {
	if n == 0 {
		return
	}
	sleep(time.Duration(n) * otherCallInterval / time.Duration(len(d.followers)))
	for ctx.Err() == nil {
		call, stop := context.WithTimeout(ctx, otherCallTimeout)
		var reply int
		if err := d.pools[n].Call(call, "0", "Other.Debit", 1, &reply); err != nil && ctx.Err() == nil {
			d.otherFailures.Add(1)
		}
		stop()
		sleep(otherCallInterval)
	}
}

// hasHost reports whether an instance has a route on a host.
func hasHost(f *Follower, host string) bool {
	_, ok := f.Current().Route(host, "/a/x")
	return ok
}

// arrivals returns, in order, after what time each instance had a route on a host. It gives up after a minute.
func (d *linkedFleet) arrivals(host string, since time.Time) []time.Duration {
	var out []time.Duration
	waiting := slices.Clone(d.followers)
	for len(waiting) > 0 && time.Since(since) < time.Minute {
		waiting = slices.DeleteFunc(waiting, func(f *Follower) bool {
			if !hasHost(f, host) {
				return false
			}
			out = append(out, time.Since(since))
			return true
		})
		sleep(20 * time.Millisecond)
	}
	for range waiting {
		out = append(out, time.Minute)
	}
	return out
}

// bytes returns the bytes that all instances have sent to others.
func (d *linkedFleet) bytes() int {
	total := 0
	for _, h := range d.hosts {
		sent, _ := h.Bytes()
		total += sent
	}
	return total
}

// checkLargeConfiguration checks that a large configuration is in force everywhere in time, and that other calls between instances
// get their replies meanwhile.
func checkLargeConfiguration(t *testing.T, test linkTest) {
	t.Helper()
	test.run(t, func(fleet *linkedFleet) {
		before := fleet.bytes()
		start := time.Now()
		for n := range test.versions {
			if n > 0 {
				sleep(test.gap)
			}
			fleet.store.put("config", "main", largeConfigurationJSON(n+2, test.routes, fmt.Sprintf("new%d.example", n)))
		}
		arrivals := fleet.arrivals(fmt.Sprintf("new%d.example", test.versions-1), start)
		last := arrivals[len(arrivals)-1]
		t.Logf("half of %d instances after %v, all after %v; %d KB sent, %d fetches and %d other calls failed",
			len(arrivals), arrivals[len(arrivals)/2], last, (fleet.bytes()-before)/1000, fleet.failures.Load(), fleet.otherFailures.Load())
		if last > applyBound+time.Duration(test.versions-1)*test.gap {
			t.Errorf("the configuration is in force everywhere after %v instead of %v", last, applyBound)
		}
		if n := fleet.otherFailures.Load(); n > 0 {
			t.Errorf("%d other calls between instances got no reply in time", n)
		}
	})
}

// linkTests are cases of a fleet in which some instances have wide links.
func linkTests(instances, wide, routes int) map[string]linkTest {
	const gap = 200 * time.Millisecond
	first := func(n int) bool { return n < wide }
	last := func(n int) bool { return n >= instances-wide }
	none := func(int) bool { return false }
	third := func(n int) bool { return n%3 == 2 }
	return map[string]linkTest{
		"calm":                        {instances: instances, isWide: first, isCut: none, routes: routes, versions: 1},
		"next version at once":        {instances: instances, isWide: first, isCut: none, routes: routes, versions: 2, gap: gap},
		"oldest have narrow links":    {instances: instances, isWide: last, isCut: none, routes: routes, versions: 2, gap: gap},
		"some are cut from the store": {instances: instances, isWide: first, isCut: third, routes: routes, versions: 2, gap: gap},
	}
}

// TestLargeConfigurationOverLinks is TestLargeConfigurationIsInForceEverywhereInTime in a fleet that the race detector can follow.
func TestLargeConfigurationOverLinks(t *testing.T) {
	for name, test := range linkTests(12, 2, 1400) {
		t.Run(name, func(t *testing.T) { checkLargeConfiguration(t, test) })
	}
}
