package allowance

// The model of the take-over rules: three instances and one shard. Time runs in ticks; a promise lasts
// promiseTicks. Messages and platform writes may be delayed for any time, overtake each other or be lost, which
// also stands for cuts, pauses and outages. An instance that may grant is taken to grant at every moment.

const (
	modelNodes         = 3
	leaseDurationTicks = 2
	noEcho             = leaseDurationTicks + 1
	maxInFlight        = 3 // messages and writes on their way at once
)

// modelRef names one incarnation of an instance.
type modelRef struct{ node, incarnation int8 }

// modelObject is the shard's object at the platform.
type modelAssignment struct {
	epoch              int8
	primary, successor modelRef
}

// modelNode is one instance.
type modelNode struct {
	up                bool
	incarnation       int8
	view              modelAssignment
	acting            bool // acts as primary in the epoch of its view
	sole              bool // needs no promise: the other keeper is proved gone
	writing           bool // a write of its own may still take effect
	resigned          bool
	leasesStopped     bool // gives no more promises in this epoch
	leaseTicks        int8 // ticks left of the promise held
	pendingLeaseTicks int8 // ticks left of the promise that the written object's new successor makes at first sight
	replaceableTicks  int8 // ticks until the successor can't use a proof any more
	echoAge           int8 // age of the successor's newest answer when it left the successor
	issuedTicks       int8 // ticks left of the promise given
	proofTicks        int8 // ticks left in which a proof counts
	noGrantTicks      int8 // ticks until the last grant of others must have expired
}

type modelMessageKind int8

const (
	noMessage modelMessageKind = iota
	renewMessage
	leaseMessage
	resignMessage
	writeMessage
)

// modelMessage is one message, or one write on its way to the platform.
type modelMessage struct {
	kind         modelMessageKind
	from, to     modelRef
	age          int8            // ticks since the renewal was sent
	echoAge      int8            // age of the echoed or carried answer
	noGrantTicks int8            // a resignation: ticks that the receiver must wait
	assignment   modelAssignment // a write: what to store; else the sender's view
}

// modelState is one state of the fleet; it is comparable, so that each is visited once.
type modelState struct {
	nodes      [modelNodes]modelNode
	assignment modelAssignment
	inFlight   [maxInFlight]modelMessage
	grantTicks [modelNodes]int8 // ticks left of grants whose keeper lost its right
	limits     modelLimits
}

// modelLimits bound the search.
type modelLimits struct {
	inFlight     int8 // messages and writes on their way at once
	crashes      int8 // still to come
	resignations bool // whether keepers may resign
}

// modelFault is a planted violation of one rule.
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

// startStates are a new epoch, one in full exchange, one whose promise is about to end, and one in which
// the successor's newest answer was slow.
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

// mayGrant tells whether an instance hands out tokens in this state.
func (n *modelNode) mayGrant() bool {
	return n.up && n.acting && n.noGrantTicks == 0 && (n.sole || n.leaseTicks > 0)
}

// violated tells whether two instances can grant the same tokens.
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

// loseRight remembers the grants of an instance that stops granting.
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

// gone tells whether the incarnation has ended: the only fact that a proof may state.
func (s *modelState) hasEnded(r modelRef) bool {
	n := s.nodes[r.node]
	return n.incarnation > r.incarnation || !n.up
}

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

// tick lets time pass for all clocks alike.
func (s *modelState) tick() {
	for i := range s.nodes {
		n := &s.nodes[i]
		for _, t := range []*int8{&n.leaseTicks, &n.pendingLeaseTicks, &n.replaceableTicks, &n.issuedTicks, &n.proofTicks, &n.noGrantTicks, &s.grantTicks[i]} {
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
