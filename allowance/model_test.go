package allowance

// This file models the takeover rules (see the package comment) with three instances and one shard. Time runs in ticks,
// and a lease lasts leaseDurationTicks. Messages and platform writes may be delayed for any time, reordered or lost.
// This also covers network partitions, suspended instances and platform outages. An instance that may make grants is
// assumed to make them all the time. The model leaves out the first assignment of a shard, assignments without a
// successor, and writes that are known not to have taken effect.

// Parameters of the model.
const (
	modelNodes         = 3
	leaseDurationTicks = 2
	noEcho             = leaseDurationTicks + 1 // age of a reply that is too old to count or was never received
	maxInFlight        = 3                      // messages and writes in flight at once
)

// modelRef identifies one incarnation of an instance.
type modelRef struct{ node, incarnation int8 }

// modelAssignment is the shard's object at the platform.
type modelAssignment struct {
	epoch              int8
	primary, successor modelRef
}

// modelNode is the state of one instance.
type modelNode struct {
	up                bool
	incarnation       int8
	view              modelAssignment // newest object that the instance knows
	acting            bool            // acts as primary in the epoch of its view
	sole              bool            // needs no lease, since the other instance of the shard can't act
	writing           bool            // a write by this instance may still take effect
	resigned          bool
	leasesStopped     bool // issues no more leases in this epoch
	leaseTicks        int8 // ticks left of the lease held as primary
	pendingLeaseTicks int8 // ticks left of the lease that the successor in the write issues on reading it
	replaceableTicks  int8 // ticks until the successor can't act on a proof any more
	echoAge           int8 // ticks since the successor sent its newest reply
	issuedTicks       int8 // ticks left of the lease issued as successor
	proofTicks        int8 // ticks left during which the successor may act on a proof
	noGrantTicks      int8 // ticks until all grants of earlier primaries have expired
}

// modelMessageKind is the kind of a message in flight.
type modelMessageKind int8

const (
	noMessage modelMessageKind = iota
	renewMessage
	leaseMessage
	resignMessage
	writeMessage
)

// modelMessage is a message or a write to the platform in flight.
type modelMessage struct {
	kind         modelMessageKind
	from, to     modelRef
	age          int8            // ticks since the renewal was sent
	echoAge      int8            // renewal: ticks since the echoed reply was sent; lease: ticks since this reply was sent
	noGrantTicks int8            // resignation: ticks before the receiver may make grants
	assignment   modelAssignment // write: object to store; otherwise the sender's view
}

// modelState is a state of the fleet. It is comparable, so that the search visits each state once.
type modelState struct {
	nodes      [modelNodes]modelNode
	assignment modelAssignment
	inFlight   [maxInFlight]modelMessage
	grantTicks [modelNodes]int8 // ticks left of grants by instances that may no longer make any
	limits     modelLimits
}

// modelLimits limits the states that a search visits.
type modelLimits struct {
	inFlight     int8 // messages and writes in flight at once
	crashes      int8 // crashes that may still happen
	resignations bool // whether a primary or successor may resign
}

// modelFault is a deliberate violation of one rule, which the search must detect.
type modelFault int8

const (
	noFault modelFault = iota
	takeOverDuringLease
	actWithoutWrite
	grantBeforeOldGrantsExpire
	leaseAfterTakeover
	actAfterLease
	actWithoutNewLease
	replaceDuringLease
	replaceableCountedFromSend
	acceptLeaseWhileWriting
	soleWithoutProof
	successorProofAfterLease
	proofCountedFromReceipt
	primarySoleWithoutProof
	primaryProofAfterLease
	leaseCountedFromReceipt
	unconditionalRelay
	ignoreIncarnation
	takeOverOnOneProof
	thirdGrantsBeforeOldGrantsExpire
	takeOverWithoutInitialLease
	resignWhileGranting
	handOverWithoutGrantDelay
)

func newModelState(limits modelLimits) modelState {
	s := modelState{limits: limits}
	s.assignment = modelAssignment{1, modelRef{0, 0}, modelRef{1, 0}}
	for i := range s.nodes {
		s.nodes[i] = modelNode{up: true, view: s.assignment, echoAge: noEcho}
	}
	s.nodes[0].acting = true
	s.nodes[0].leaseTicks = leaseDurationTicks
	s.nodes[1].issuedTicks = leaseDurationTicks
	return s
}

// newStartStates returns four states: a new epoch, one with regular renewals, one whose lease is about to expire, and
// one in which the successor's newest reply was slow.
func newStartStates(limits modelLimits) []modelState {
	fresh := newModelState(limits)
	steady := fresh
	steady.nodes[0].echoAge, steady.nodes[0].replaceableTicks = 0, leaseDurationTicks
	steady.nodes[1].proofTicks = leaseDurationTicks
	expiring := steady
	expiring.tick()
	slowReply := steady
	slowReply.nodes[0].leaseTicks--
	return []modelState{fresh, steady, expiring, slowReply}
}

// mayGrant reports whether the instance may make grants.
func (n *modelNode) mayGrant() bool {
	return n.up && n.acting && n.noGrantTicks == 0 && (n.sole || n.leaseTicks > 0)
}

// hasTwoGranters reports whether an instance may make grants while another one may, too, or while grants of an earlier
// primary are in force.
func (s *modelState) hasTwoGranters() bool {
	for i := range s.nodes {
		if !s.nodes[i].mayGrant() {
			continue
		}
		for j := range s.nodes {
			if s.grantTicks[j] > 0 || i != j && s.nodes[j].mayGrant() {
				return true
			}
		}
	}
	return false
}

// keepGrantsInForce records the grants that are in force when an instance stops making grants.
func (s *modelState) keepGrantsInForce(i int) {
	n := &s.nodes[i]
	if !n.mayGrant() {
		return
	}
	ticks := n.leaseTicks
	if n.sole {
		ticks = leaseDurationTicks
	}
	s.grantTicks[i] = max(s.grantTicks[i], ticks)
}

func (s *modelState) ref(i int) modelRef { return modelRef{int8(i), s.nodes[i].incarnation} }

// hasEnded reports whether an incarnation has ended. All instances can prove this at any time after its end.
func (s *modelState) hasEnded(r modelRef) bool {
	n := s.nodes[r.node]
	return n.incarnation > r.incarnation || !n.up
}

// send puts a message in flight. It returns false if an equal message is in flight already or the limit is reached.
func (s *modelState) send(m modelMessage) bool {
	for i := range s.inFlight {
		if s.inFlight[i] == m {
			return false
		}
	}
	for i := range s.limits.inFlight {
		if s.inFlight[i].kind == noMessage {
			s.inFlight[i] = m
			return true
		}
	}
	return false
}

// tick advances all clocks by one tick.
func (s *modelState) tick() {
	for i := range s.nodes {
		n := &s.nodes[i]
		for _, t := range []*int8{
			&n.leaseTicks, &n.pendingLeaseTicks, &n.replaceableTicks, &n.issuedTicks, &n.proofTicks, &n.noGrantTicks,
			&s.grantTicks[i],
		} {
			*t = max(*t-1, 0)
		}
		n.echoAge = min(n.echoAge+1, noEcho)
	}
	for i := range s.inFlight {
		if m := &s.inFlight[i]; m.kind == renewMessage || m.kind == leaseMessage {
			m.age = min(m.age+1, noEcho)
			m.echoAge = min(m.echoAge+1, noEcho)
		}
	}
}
