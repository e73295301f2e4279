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
	instanceCount      = 4
	networkDelay       = 5 * time.Millisecond
	heartbeatInterval  = time.Second
	reachabilityWindow = 4 * time.Second // as the membership's hearing window
	keyRemovalBound    = 6 * time.Second // bound for an instance that the change could reach all the time
	settleTime         = 40 * time.Second
)

// link is the way between an instance and the platform.
type link struct {
	simulation *simulation
	node       int

	mu            sync.Mutex
	cut           bool
	interruptions int // number of times it was cut; calls that were pending then stay silent for good
}

func (l *link) state() (cut bool, interruptions int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.interruptions
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut && !l.cut {
		l.interruptions++
	}
	l.cut = cut
}

// stallPendingCalls leaves every pending call without an answer; new ones work.
func (l *link) stallPendingCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interruptions++
}

// RoundTrip implements http.RoundTripper with the faults of the world.
func (l *link) RoundTrip(req *http.Request) (*http.Response, error) {
	faults := l.simulation.currentFaults()
	sleep(networkDelay + faults.delay)
	cut, interruptionsBefore := l.state()
	if cut {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if l.simulation.currentFaults().outage {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	resp, err := l.simulation.roundTrip(req)
	sleep(networkDelay + faults.delay)
	if _, interruptionsAfter := l.state(); interruptionsAfter != interruptionsBefore {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if l.simulation.currentFaults().outage {
		return nil, errConnectionCut
	}
	if err == nil && req.Method != http.MethodGet && l.simulation.losesResponse() {
		return nil, errConnectionCut
	}
	return resp, err
}

type platformFaults struct {
	outage          bool
	delay           time.Duration
	responsesToLose int // writes that still take effect and lose their answer
}

// simulatedInstance is one instance.
type simulatedInstance struct {
	index    int
	link     *link
	follower *Follower
	stop     context.CancelFunc
	done     chan struct{}

	mu              sync.Mutex
	highestRevision uint64 // ever in force, over all its runs
	platformHeard   time.Time
	peerReached     map[int]time.Time
	peerProbed      map[int]time.Time
}

// simulation is a small fleet, its operators and an oracle.
type simulation struct {
	platformTransport *handlerTransport
	oracleClient      *platform.Client
	instances         []*simulatedInstance

	headWriteMu   sync.Mutex // held while a head is written
	mu            sync.Mutex
	faults        platformFaults
	cutPairs      map[[2]int]bool // cut pairs
	accepted      []string        // change ids by revision, from 1
	rules         []*rule.Set     // by revision, from 1
	acceptedAt    []time.Time     // when each revision was seen accepted
	newest        *Revision       // as the oracle read it
	staleKeySince map[int]time.Time
	violations    []string
}

func newSimulation() *simulation {
	server := newPlatformStandIn()
	s := &simulation{
		platformTransport: &handlerTransport{handler: server.Handler(), isCut: neverCut},
		oracleClient:      newClient(server, neverCut),
		cutPairs:          make(map[[2]int]bool),
		staleKeySince:     make(map[int]time.Time),
	}
	for i := range instanceCount {
		s.instances = append(s.instances, &simulatedInstance{index: i, link: &link{simulation: s, node: i}})
	}
	return s
}

func (s *simulation) currentFaults() platformFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *simulation) setFaults(modify func(*platformFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	modify(&s.faults)
}

// roundTrip passes a call to the platform; the oracle learns of each new head at once.
func (s *simulation) roundTrip(req *http.Request) (*http.Response, error) {
	creates := req.Method == http.MethodPost && strings.HasSuffix(req.URL.Path, "/"+HeadKind)
	replaces := req.Method == http.MethodPut && strings.HasSuffix(req.URL.Path, HeadName)
	if !creates && !replaces {
		return s.platformTransport.RoundTrip(req)
	}
	s.headWriteMu.Lock()
	defer s.headWriteMu.Unlock()
	resp, err := s.platformTransport.RoundTrip(req)
	s.learnAcceptedRevisions()
	return resp, err
}

func (s *simulation) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.responsesToLose == 0 {
		return false
	}
	s.faults.responsesToLose--
	return true
}

func (s *simulation) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// peersConnected tells whether two instances can call each other now.
func (s *simulation) peersConnected(a, b int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cutPairs[[2]int{min(a, b), max(a, b)}]
}

func (s *simulation) setPairCut(a, b int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutPairs[[2]int{min(a, b), max(a, b)}] = cut
}

// client returns a client of the platform over a link of its own, as operators have.
func (s *simulation) client(l *link) *platform.Client {
	return &platform.Client{Base: "http://platform", Token: testToken, HTTP: &http.Client{Transport: l}}
}

// startInstance runs an instance.
func (s *simulation) startInstance(instance *simulatedInstance) {
	if instance.stop != nil {
		return
	}
	var ctx context.Context
	ctx, instance.stop = context.WithCancel(context.Background())
	instance.done = make(chan struct{})
	instance.peerReached, instance.peerProbed = make(map[int]time.Time), make(map[int]time.Time)
	instance.platformHeard = time.Time{}
	f := NewFollower(s.client(instance.link))
	f.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return s.call(ctx, instance.index, address, method, args, reply)
	}
	f.Peers = func() []string { return s.peerAddresses(instance.index) }
	f.Watches = func() bool { return instance.index < 2 }
	f.Isolated = func() bool { return !instance.reachesPeers() }
	f.OnPlatformResponse = instance.recordPlatformResponse
	instance.mu.Lock()
	instance.follower = f
	instance.mu.Unlock()
	go func() {
		defer close(instance.done)
		var loops sync.WaitGroup
		loops.Go(func() { _ = f.Serve(ctx) })
		loops.Go(func() { s.runHeartbeats(ctx, instance) })
		loops.Wait()
	}()
}

// killInstance ends an instance without a word.
func (s *simulation) killInstance(instance *simulatedInstance) {
	if instance.stop == nil {
		return
	}
	instance.mu.Lock()
	instance.follower = nil
	instance.mu.Unlock()
	instance.stop()
	<-instance.done
	instance.stop = nil
}

func (s *simulation) peerAddresses(self int) []string {
	var out []string
	for i := range s.instances {
		if i != self {
			out = append(out, fmt.Sprint(i))
		}
	}
	return out
}

func (instance *simulatedInstance) runningFollower() *Follower {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.follower
}

func (instance *simulatedInstance) recordPlatformResponse() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.platformHeard = time.Now()
}

func (instance *simulatedInstance) reachesPeers() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	probed, reached := 0, 0
	for peer, at := range instance.peerProbed {
		if time.Since(at) < reachabilityWindow {
			probed++
			if time.Since(instance.peerReached[peer]) < reachabilityWindow {
				reached++
			}
		}
	}
	return probed > 0 && 2*reached >= probed
}

// isConnected is the membership's rule.
func (instance *simulatedInstance) isConnected() bool {
	instance.mu.Lock()
	recent := time.Since(instance.platformHeard) < reachabilityWindow
	instance.mu.Unlock()
	return recent || instance.reachesPeers()
}

// call runs a method at a peer.
func (s *simulation) call(ctx context.Context, from int, address, method string, args, reply any) error {
	sleep(networkDelay)
	i := slices.Index([]string{"0", "1", "2", "3"}, address)
	target := s.instances[i].runningFollower()
	if target == nil || !s.peersConnected(from, i) || ctx.Err() != nil {
		return errConnectionCut
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

// runHeartbeats tells peers' revisions once a second, as the membership does.
func (s *simulation) runHeartbeats(ctx context.Context, instance *simulatedInstance) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, peer := range s.instances {
			follower := peer.runningFollower()
			if peer == instance {
				continue
			}
			reached := follower != nil && s.peersConnected(instance.index, peer.index)
			instance.mu.Lock()
			instance.peerProbed[peer.index] = time.Now()
			if reached {
				instance.peerReached[peer.index] = time.Now()
			}
			ownFollower := instance.follower
			instance.mu.Unlock()
			if current := currentRevision(follower); reached && ownFollower != nil && current != nil {
				ownFollower.HandlePeerRevision(fmt.Sprint(peer.index), current.Number)
			}
		}
	}
}

func currentRevision(f *Follower) *Revision {
	if f == nil {
		return nil
	}
	return f.Current()
}

// learnAcceptedRevisions takes newly accepted revisions from the platform, past all faults.
func (s *simulation) learnAcceptedRevisions() {
	s.mu.Lock()
	known := len(s.accepted)
	s.mu.Unlock()
	_, head, err := readHead(context.Background(), s.oracleClient)
	if err == nil && head.Revision == uint64(known) {
		return
	}
	current, err2 := loadRevision(context.Background(), head, s.newest, newPlatformPartReader(s.oracleClient))
	if err != nil || err2 != nil {
		s.addViolation("the newest revision can't be read: %v %v", err, err2)
		return
	}
	s.newest = current
	for number := uint64(known) + 1; number <= current.Number; number++ {
		steps, ok := current.head.stepsSince(number - 1)
		rules, err := current.rulesAt(number)
		if !ok || err != nil {
			s.addViolation("revision %d can't be read back: %v", number, err)
			return
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, steps[0].Change)
		s.rules = append(s.rules, rules)
		s.acceptedAt = append(s.acceptedAt, time.Now())
		s.mu.Unlock()
	}
}

// checkPeriodically checks every instance each tenth of a second until the context ends.
func (s *simulation) checkPeriodically(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval / 10)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, instance := range s.instances {
			s.checkInstance(instance)
		}
	}
}

// checkInstance holds an instance against the oracle.
func (s *simulation) checkInstance(instance *simulatedInstance) {
	current := currentRevision(instance.runningFollower())
	if current == nil {
		delete(s.staleKeySince, instance.index)
		return
	}
	if current.Number < instance.highestRevision && !s.mayGoBack(instance) {
		s.addViolation("instance %d went back from revision %d to %d", instance.index, instance.highestRevision, current.Number)
	}
	instance.highestRevision = max(instance.highestRevision, current.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.Number > uint64(len(s.accepted)) || current.Number > 0 && current.ChangeID() != s.accepted[current.Number-1] {
		s.violations = append(s.violations, fmt.Sprintf("instance %d has revision %d in force, which was never accepted", instance.index, current.Number))
		return
	}
	s.checkRemovedKeys(instance, current)
}

// mayGoBack tells whether a restarted instance could not know that it had had a newer revision: no
// other instance that it reaches has it, and the platform can't be asked.
func (s *simulation) mayGoBack(instance *simulatedInstance) bool {
	cut, _ := instance.link.state()
	if !cut && !s.currentFaults().outage {
		return false
	}
	for _, peer := range s.instances {
		if current := currentRevision(peer.runningFollower()); peer != instance && s.peersConnected(instance.index, peer.index) && current != nil && current.Number >= instance.highestRevision {
			return false
		}
	}
	return true
}

// checkRemovedKeys notes since when an instance admits a key that was withdrawn although it could
// have known: it reaches the platform, or it is cut off and ought to refuse. The caller holds the lock.
func (s *simulation) checkRemovedKeys(instance *simulatedInstance, current *Revision) {
	admitsRemovedKey := uint64(len(s.rules)) > current.Number && len(s.rules) > 0 && instance.isConnected() && s.acceptsRemovedKey(current)
	cut, _ := instance.link.state()
	reachable := !cut && !s.faults.outage && s.faults.delay == 0
	if !admitsRemovedKey || !reachable {
		delete(s.staleKeySince, instance.index)
		return
	}
	since, ok := s.staleKeySince[instance.index]
	if !ok {
		s.staleKeySince[instance.index] = time.Now()
		return
	}
	if time.Since(since) > keyRemovalBound {
		s.violations = append(s.violations, fmt.Sprintf("instance %d still admits a withdrawn key after %v", instance.index, time.Since(since)))
	}
}

func (s *simulation) acceptsRemovedKey(current *Revision) bool {
	newest := s.rules[len(s.rules)-1]
	for k := range simulatedKeys {
		hash := account.Hash(simulatedKey(k))
		_, admitted := current.Rules.KeyAccount(hash)
		_, valid := newest.KeyAccount(hash)
		if admitted && !valid {
			return true
		}
	}
	return false
}

// settle mends everything, waits, and compares every instance with the platform.
func (s *simulation) settle() {
	s.setFaults(func(f *platformFaults) { *f = platformFaults{} })
	s.mu.Lock()
	s.cutPairs = make(map[[2]int]bool)
	s.mu.Unlock()
	for _, instance := range s.instances {
		instance.link.setCut(false)
		s.startInstance(instance)
	}
	sleep(settleTime)
	for _, instance := range s.instances {
		current := currentRevision(instance.runningFollower())
		if current == nil {
			s.addViolation("instance %d has nothing in force after quiet", instance.index)
			continue
		}
		if current.Number != uint64(len(s.accepted)) {
			s.addViolation("instance %d has revision %d in force after quiet instead of %d", instance.index, current.Number, len(s.accepted))
			continue
		}
		if current.Number > 0 && len(rule.Diff(current.Rules, s.rules[current.Number-1])) > 0 {
			s.addViolation("instance %d has other rules than revision %d", instance.index, current.Number)
		}
	}
}
