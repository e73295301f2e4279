package config

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselgate/account"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Times of the small fleet that the random tests run, in fake time.
const (
	worldNodes     = 4
	hopDelay       = 5 * time.Millisecond
	heartbeat      = time.Second
	worldWindow    = 4 * time.Second // as the membership's hearing window
	withdrawalTime = 6 * time.Second // bound for an instance that the change could reach all the time
	quietTime      = 40 * time.Second
)

// link is the way between an instance and the platform.
type link struct {
	world *world
	node  int

	mu   sync.Mutex
	cut  bool
	cuts int // number of times it was cut; calls that were pending then stay silent for good
}

func (l *link) state() (cut bool, cuts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.cuts
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut && !l.cut {
		l.cuts++
	}
	l.cut = cut
}

// silence leaves every pending call without an answer; new ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
}

// RoundTrip implements http.RoundTripper with the faults of the world.
func (l *link) RoundTrip(req *http.Request) (*http.Response, error) {
	faults := l.world.faults()
	rest(hopDelay + faults.delay)
	cut, before := l.state()
	if cut {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if l.world.faults().outage {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	resp, err := l.world.carry(req)
	rest(hopDelay + faults.delay)
	if _, after := l.state(); after != before {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if l.world.faults().outage {
		return nil, errCut
	}
	if err == nil && req.Method != http.MethodGet && l.world.loseWrite() {
		return nil, errCut
	}
	return resp, err
}

type worldFaults struct {
	outage bool
	delay  time.Duration
	lose   int // writes that still take effect and lose their answer
}

// node is one instance.
type node struct {
	index    int
	link     *link
	follower *Follower
	stop     context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	highest  uint64 // ever in force, over all its runs
	platform time.Time
	heard    map[int]time.Time
	probed   map[int]time.Time
}

// world is a small fleet, its operators and an oracle.
type world struct {
	direct *direct
	oracle *platform.Client
	nodes  []*node

	heads    sync.Mutex // held while a head is written
	mu       sync.Mutex
	current  worldFaults
	pairs    map[[2]int]bool // cut pairs
	accepted []string        // change ids by revision, from 1
	rules    []*rule.Set     // by revision, from 1
	times    []time.Time     // when each revision was seen accepted
	newest   *Revision       // as the oracle read it
	lastBad  map[int]time.Time
	faultsOf []string
}

func newWorld() *world {
	server := newStandin()
	w := &world{
		direct:  &direct{handler: server.Handler(), cut: connected},
		oracle:  newClient(server, connected),
		pairs:   make(map[[2]int]bool),
		lastBad: make(map[int]time.Time),
	}
	for i := range worldNodes {
		w.nodes = append(w.nodes, &node{index: i, link: &link{world: w, node: i}})
	}
	return w
}

func (w *world) faults() worldFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

func (w *world) set(change func(*worldFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.current)
}

// carry passes a call to the platform; the oracle learns of each new head at once.
func (w *world) carry(req *http.Request) (*http.Response, error) {
	creates := req.Method == http.MethodPost && strings.HasSuffix(req.URL.Path, "/"+HeadKind)
	replaces := req.Method == http.MethodPut && strings.HasSuffix(req.URL.Path, HeadName)
	if !creates && !replaces {
		return w.direct.RoundTrip(req)
	}
	w.heads.Lock()
	defer w.heads.Unlock()
	resp, err := w.direct.RoundTrip(req)
	w.learn()
	return resp, err
}

func (w *world) loseWrite() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current.lose == 0 {
		return false
	}
	w.current.lose--
	return true
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultsOf = append(w.faultsOf, fmt.Sprintf(format, args...))
}

// reaches tells whether two instances can call each other now.
func (w *world) reaches(a, b int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.pairs[[2]int{min(a, b), max(a, b)}]
}

func (w *world) setPair(a, b int, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pairs[[2]int{min(a, b), max(a, b)}] = cut
}

// client returns a client of the platform over a link of its own, as operators have.
func (w *world) client(l *link) *platform.Client {
	return &platform.Client{Base: "http://platform", Token: testToken, HTTP: &http.Client{Transport: l}}
}

// start runs an instance.
func (w *world) start(n *node) {
	if n.stop != nil {
		return
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.done = make(chan struct{})
	n.heard, n.probed = make(map[int]time.Time), make(map[int]time.Time)
	n.platform = time.Time{}
	f := NewFollower(w.client(n.link))
	f.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return w.call(ctx, n.index, address, method, args, reply)
	}
	f.Peers = func() []string { return w.peers(n.index) }
	f.Watches = func() bool { return n.index < 2 }
	f.Isolated = func() bool { return !n.hearsPeers() }
	f.OnPlatformResponse = n.hearPlatform
	n.mu.Lock()
	n.follower = f
	n.mu.Unlock()
	go func() {
		defer close(n.done)
		var parts sync.WaitGroup
		parts.Go(func() { _ = f.Serve(ctx) })
		parts.Go(func() { w.heartbeats(ctx, n) })
		parts.Wait()
	}()
}

// kill ends an instance without a word.
func (w *world) kill(n *node) {
	if n.stop == nil {
		return
	}
	n.mu.Lock()
	n.follower = nil
	n.mu.Unlock()
	n.stop()
	<-n.done
	n.stop = nil
}

func (w *world) peers(self int) []string {
	var out []string
	for i := range w.nodes {
		if i != self {
			out = append(out, fmt.Sprint(i))
		}
	}
	return out
}

func (n *node) running() *Follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower
}

func (n *node) hearPlatform() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platform = time.Now()
}

func (n *node) hearsPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	tried, heard := 0, 0
	for peer, at := range n.probed {
		if time.Since(at) < worldWindow {
			tried++
			if time.Since(n.heard[peer]) < worldWindow {
				heard++
			}
		}
	}
	return tried > 0 && 2*heard >= tried
}

// connected is the membership's rule.
func (n *node) connected() bool {
	n.mu.Lock()
	recent := time.Since(n.platform) < worldWindow
	n.mu.Unlock()
	return recent || n.hearsPeers()
}

// call runs a method at a peer.
func (w *world) call(ctx context.Context, from int, address, method string, args, reply any) error {
	rest(hopDelay)
	i := slices.Index([]string{"0", "1", "2", "3"}, address)
	target := w.nodes[i].running()
	if target == nil || !w.reaches(from, i) || ctx.Err() != nil {
		return errCut
	}
	receiver := target.Receiver()
	switch method {
	case RPCName + ".After":
		return receiver.After(args.(AfterArgs), reply.(*AfterReply))
	case RPCName + ".Part":
		return receiver.Part(args.(PartArgs), reply.(*PartReply))
	}
	return fmt.Errorf("config: no method %s", method)
}

// heartbeats tells peers' revisions once a second, as the membership does.
func (w *world) heartbeats(ctx context.Context, n *node) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, peer := range w.nodes {
			other := peer.running()
			if peer == n {
				continue
			}
			reached := other != nil && w.reaches(n.index, peer.index)
			n.mu.Lock()
			n.probed[peer.index] = time.Now()
			if reached {
				n.heard[peer.index] = time.Now()
			}
			own := n.follower
			n.mu.Unlock()
			if current := currentOf(other); reached && own != nil && current != nil {
				own.HandlePeerRevision(fmt.Sprint(peer.index), current.Number)
			}
		}
	}
}

func currentOf(f *Follower) *Revision {
	if f == nil {
		return nil
	}
	return f.Current()
}

// learn takes newly accepted revisions from the platform, past all faults.
func (w *world) learn() {
	w.mu.Lock()
	known := len(w.accepted)
	w.mu.Unlock()
	_, head, err := readHead(context.Background(), w.oracle)
	if err == nil && head.Revision == uint64(known) {
		return
	}
	current, err2 := load(context.Background(), head, w.newest, fromPlatform(w.oracle))
	if err != nil || err2 != nil {
		w.fail("the newest revision can't be read: %v %v", err, err2)
		return
	}
	w.newest = current
	for number := uint64(known) + 1; number <= current.Number; number++ {
		steps, ok := current.head.since(number - 1)
		rules, err := current.at(number)
		if !ok || err != nil {
			w.fail("revision %d can't be read back: %v", number, err)
			return
		}
		w.mu.Lock()
		w.accepted = append(w.accepted, steps[0].Change)
		w.rules = append(w.rules, rules)
		w.times = append(w.times, time.Now())
		w.mu.Unlock()
	}
}

// watchOver checks every instance each tenth of a second until the context ends.
func (w *world) watchOver(ctx context.Context) {
	tick := time.NewTicker(heartbeat / 10)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, n := range w.nodes {
			w.checkNode(n)
		}
	}
}

// checkNode holds an instance against the oracle.
func (w *world) checkNode(n *node) {
	current := currentOf(n.running())
	if current == nil {
		delete(w.lastBad, n.index)
		return
	}
	if current.Number < n.highest && !w.excused(n) {
		w.fail("instance %d went back from revision %d to %d", n.index, n.highest, current.Number)
	}
	n.highest = max(n.highest, current.Number)
	w.mu.Lock()
	defer w.mu.Unlock()
	if current.Number > uint64(len(w.accepted)) || current.Number > 0 && current.ChangeID() != w.accepted[current.Number-1] {
		w.faultsOf = append(w.faultsOf, fmt.Sprintf("instance %d has revision %d in force, which was never accepted", n.index, current.Number))
		return
	}
	w.checkWithdrawals(n, current)
}

// excused tells whether a restarted instance could not know that it had had a newer revision: no
// other instance that it reaches has it, and the platform can't be asked.
func (w *world) excused(n *node) bool {
	cut, _ := n.link.state()
	if !cut && !w.faults().outage {
		return false
	}
	for _, peer := range w.nodes {
		if current := currentOf(peer.running()); peer != n && w.reaches(n.index, peer.index) && current != nil && current.Number >= n.highest {
			return false
		}
	}
	return true
}

// checkWithdrawals notes since when an instance admits a key that was withdrawn although it could
// have known: it reaches the platform, or it is cut off and ought to refuse. The caller holds the lock.
func (w *world) checkWithdrawals(n *node, current *Revision) {
	late := uint64(len(w.rules)) > current.Number && len(w.rules) > 0 && n.connected() && w.admitsWithdrawn(current)
	cut, _ := n.link.state()
	reachable := !cut && !w.current.outage && w.current.delay == 0
	if !late || !reachable {
		delete(w.lastBad, n.index)
		return
	}
	since, ok := w.lastBad[n.index]
	if !ok {
		w.lastBad[n.index] = time.Now()
		return
	}
	if time.Since(since) > withdrawalTime {
		w.faultsOf = append(w.faultsOf, fmt.Sprintf("instance %d still admits a withdrawn key after %v", n.index, time.Since(since)))
	}
}

func (w *world) admitsWithdrawn(current *Revision) bool {
	newest := w.rules[len(w.rules)-1]
	for k := range worldKeys {
		hash := account.Hash(worldKey(k))
		_, admitted := current.Rules.KeyAccount(hash)
		_, valid := newest.KeyAccount(hash)
		if admitted && !valid {
			return true
		}
	}
	return false
}

// settle mends everything, waits, and compares every instance with the platform.
func (w *world) settle() {
	w.set(func(f *worldFaults) { *f = worldFaults{} })
	w.mu.Lock()
	w.pairs = make(map[[2]int]bool)
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.link.set(false)
		w.start(n)
	}
	rest(quietTime)
	for _, n := range w.nodes {
		current := currentOf(n.running())
		if current == nil {
			w.fail("instance %d has nothing in force after quiet", n.index)
			continue
		}
		if current.Number != uint64(len(w.accepted)) {
			w.fail("instance %d has revision %d in force after quiet instead of %d", n.index, current.Number, len(w.accepted))
			continue
		}
		if current.Number > 0 && len(rule.Diff(current.Rules, w.rules[current.Number-1])) > 0 {
			w.fail("instance %d has other rules than revision %d", n.index, current.Number)
		}
	}
}
