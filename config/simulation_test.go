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

// Size and times of the simulated fleet; all times are fake.
const (
	instanceCount      = 4
	networkDelay       = 5 * time.Millisecond // of a call in one direction
	heartbeatInterval  = time.Second
	reachabilityWindow = 4 * time.Second  // how long after a response its sender counts as reachable, as in package fleet
	keyRemovalBound    = 6 * time.Second  // for an instance that reaches the platform to learn of a removed key
	settleTime         = 40 * time.Second // for all instances to load the newest revision after the end of the faults
)

// link is the connection between an instance or an operator and the platform.
type link struct {
	simulation    *simulation
	instanceIndex int

	mu            sync.Mutex
	cut           bool
	interruptions int // number of interruptions; a call that is pending during one gets no response
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

// stallPendingCalls leaves every pending call without a response; new calls work.
func (l *link) stallPendingCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interruptions++
}

// RoundTrip implements http.RoundTripper with the faults of the link and of the platform.
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

// platformFaults are the current faults of the platform.
type platformFaults struct {
	outage          bool
	delay           time.Duration // added to each call in both directions
	responsesToLose int           // number of next writes that take effect but get no response
}

// simulatedInstance is an instance with a follower and the heartbeats to its peers.
type simulatedInstance struct {
	index    int
	link     *link
	follower *Follower          // nil while the instance does not run
	stop     context.CancelFunc // nil while the instance does not run
	done     chan struct{}      // closed when the instance has stopped

	mu                  sync.Mutex
	highestRevision     uint64            // highest revision seen in force, over all runs of the instance
	platformRespondedAt time.Time         // time of the last response of the platform
	peerReachedAt       map[int]time.Time // time of the last successful heartbeat, by index of the peer
	peerProbedAt        map[int]time.Time // time of the last heartbeat, by index of the peer
}

// simulation is a fleet with a platform and an oracle, which reads the platform without faults.
type simulation struct {
	platformTransport *handlerTransport
	oracleClient      *platform.Client
	instances         []*simulatedInstance

	headWriteMu      sync.Mutex // held while the head is written and the oracle reads it
	mu               sync.Mutex
	faults           platformFaults
	cutPairs         map[[2]int]bool   // whether two instances can't call each other, by their indexes in order
	accepted         []string          // IDs of the accepted changes by revision, from 1
	rules            []*rule.Set       // rules by revision, from 1
	acceptedAt       []time.Time       // time at which the oracle read each revision
	newest           *Revision         // newest revision that the oracle read
	removedKeySeenAt map[int]time.Time // when an instance was first seen to accept a removed key, by index of the instance
	violations       []string
}

func newSimulation() *simulation {
	server := newPlatformStandIn()
	s := &simulation{
		platformTransport: &handlerTransport{handler: server.Handler(), isCut: neverCut},
		oracleClient:      newPlatformClient(server, neverCut),
		cutPairs:          make(map[[2]int]bool),
		removedKeySeenAt:  make(map[int]time.Time),
	}
	for i := range instanceCount {
		s.instances = append(s.instances, &simulatedInstance{index: i, link: &link{simulation: s, instanceIndex: i}})
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

// roundTrip passes a call to the platform. After each write of the head the oracle reads the new revisions.
func (s *simulation) roundTrip(req *http.Request) (*http.Response, error) {
	createsHead := req.Method == http.MethodPost && strings.HasSuffix(req.URL.Path, "/"+HeadKind)
	replacesHead := req.Method == http.MethodPut && strings.HasSuffix(req.URL.Path, HeadName)
	if !createsHead && !replacesHead {
		return s.platformTransport.RoundTrip(req)
	}
	s.headWriteMu.Lock()
	defer s.headWriteMu.Unlock()
	resp, err := s.platformTransport.RoundTrip(req)
	s.learnAcceptedRevisions()
	return resp, err
}

// losesResponse reports whether the response to a write is to be lost, and counts it.
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

// peersConnected reports whether two instances can call each other.
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

// client returns a client of the platform over a link.
func (s *simulation) client(l *link) *platform.Client {
	return &platform.Client{Base: "http://platform", Token: testToken, HTTP: &http.Client{Transport: l}}
}

// startInstance starts an instance unless it runs.
func (s *simulation) startInstance(instance *simulatedInstance) {
	if instance.stop != nil {
		return
	}
	var ctx context.Context
	ctx, instance.stop = context.WithCancel(context.Background())
	instance.done = make(chan struct{})
	instance.peerReachedAt, instance.peerProbedAt = make(map[int]time.Time), make(map[int]time.Time)
	instance.platformRespondedAt = time.Time{}
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

// killInstance stops an instance, if it runs, without notifying its peers.
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

func (i *simulatedInstance) runningFollower() *Follower {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.follower
}

func (i *simulatedInstance) recordPlatformResponse() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.platformRespondedAt = time.Now()
}

// reachesPeers reports whether at least half of the peers probed within reachabilityWindow were reached within it.
func (i *simulatedInstance) reachesPeers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	probed, reached := 0, 0
	for peer, at := range i.peerProbedAt {
		if time.Since(at) < reachabilityWindow {
			probed++
			if time.Since(i.peerReachedAt[peer]) < reachabilityWindow {
				reached++
			}
		}
	}
	return probed > 0 && 2*reached >= probed
}

// isConnected reports whether the platform has responded within reachabilityWindow or the instance reaches its peers,
// as Fleet.Connected in package fleet does.
func (i *simulatedInstance) isConnected() bool {
	i.mu.Lock()
	recent := time.Since(i.platformRespondedAt) < reachabilityWindow
	i.mu.Unlock()
	return recent || i.reachesPeers()
}

// call calls an RPC method of a peer.
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

// runHeartbeats exchanges heartbeats with the peers, which report their revisions, until the context ends.
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
			peerFollower := peer.runningFollower()
			if peer == instance {
				continue
			}
			reached := peerFollower != nil && s.peersConnected(instance.index, peer.index)
			instance.mu.Lock()
			instance.peerProbedAt[peer.index] = time.Now()
			if reached {
				instance.peerReachedAt[peer.index] = time.Now()
			}
			ownFollower := instance.follower
			instance.mu.Unlock()
			if current := currentRevision(peerFollower); reached && ownFollower != nil && current != nil {
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

// learnAcceptedRevisions records the revisions that the platform accepted since the last call.
func (s *simulation) learnAcceptedRevisions() {
	s.mu.Lock()
	known := len(s.accepted)
	s.mu.Unlock()
	_, head, err := readHead(context.Background(), s.oracleClient)
	if err == nil && head.Revision == uint64(known) {
		return
	}
	current, loadErr := loadRevision(context.Background(), head, s.newest, newPlatformPartReader(s.oracleClient))
	if err != nil || loadErr != nil {
		s.addViolation("the newest revision can't be read: %v %v", err, loadErr)
		return
	}
	s.newest = current
	for number := uint64(known) + 1; number <= current.Number; number++ {
		steps, ok := current.head.stepsSince(number - 1)
		rules, err := current.rulesAt(number)
		if !ok || err != nil {
			s.addViolation("the rules of revision %d can't be restored from the log: %v", number, err)
			return
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, steps[0].Change)
		s.rules = append(s.rules, rules)
		s.acceptedAt = append(s.acceptedAt, time.Now())
		s.mu.Unlock()
	}
}

// checkPeriodically checks every instance ten times per heartbeat until the context ends.
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

// checkInstance compares an instance's revision with what the oracle read.
func (s *simulation) checkInstance(instance *simulatedInstance) {
	current := currentRevision(instance.runningFollower())
	if current == nil {
		delete(s.removedKeySeenAt, instance.index)
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

// mayGoBack reports whether a restarted instance can't learn that it had a newer revision before: it can't reach the
// platform, and no peer that it reaches has that revision.
func (s *simulation) mayGoBack(instance *simulatedInstance) bool {
	cut, _ := instance.link.state()
	if !cut && !s.currentFaults().outage {
		return false
	}
	for _, peer := range s.instances {
		if current := currentRevision(peer.runningFollower()); peer != instance &&
			s.peersConnected(instance.index, peer.index) && current != nil && current.Number >= instance.highestRevision {
			return false
		}
	}
	return true
}

// checkRemovedKeys reports a connected instance that accepts a removed key for longer than keyRemovalBound although it
// can reach the platform. The caller must hold s.mu.
func (s *simulation) checkRemovedKeys(instance *simulatedInstance, current *Revision) {
	keepsRemovedKey := uint64(len(s.rules)) > current.Number && len(s.rules) > 0 &&
		instance.isConnected() && s.acceptsRemovedKey(current)
	cut, _ := instance.link.state()
	platformReachable := !cut && !s.faults.outage && s.faults.delay == 0
	if !keepsRemovedKey || !platformReachable {
		delete(s.removedKeySeenAt, instance.index)
		return
	}
	since, ok := s.removedKeySeenAt[instance.index]
	if !ok {
		s.removedKeySeenAt[instance.index] = time.Now()
		return
	}
	if time.Since(since) > keyRemovalBound {
		s.violations = append(s.violations, fmt.Sprintf("instance %d still accepts a removed key after %v", instance.index, time.Since(since)))
	}
}

// acceptsRemovedKey reports whether a revision has a key that the newest revision does not have.
func (s *simulation) acceptsRemovedKey(current *Revision) bool {
	newest := s.rules[len(s.rules)-1]
	for number := range simulatedKeys {
		hash := account.Hash(simulatedKey(number))
		_, accepted := current.Rules.KeyAccount(hash)
		_, valid := newest.KeyAccount(hash)
		if accepted && !valid {
			return true
		}
	}
	return false
}

// settle ends all faults, waits for settleTime, and compares every instance with the newest revision.
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
			s.addViolation("instance %d has no revision in force after settling", instance.index)
			continue
		}
		if current.Number != uint64(len(s.accepted)) {
			s.addViolation("instance %d has revision %d in force after settling instead of %d", instance.index, current.Number, len(s.accepted))
			continue
		}
		if current.Number > 0 && len(rule.Diff(current.Rules, s.rules[current.Number-1])) > 0 {
			s.addViolation("instance %d has other rules than revision %d", instance.index, current.Number)
		}
	}
}
