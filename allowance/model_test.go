package allowance

// The model of the take-over rules: three instances and one shard. Time runs in ticks; a promise lasts
// promiseTicks. Messages and platform writes may be delayed for any time, overtake each other or be lost, which
// also stands for cuts, pauses and outages. An instance that may grant is taken to grant at every moment.

const (
	modelNodes   = 3
	promiseTicks = 2
	noEcho       = promiseTicks + 1
	maxFlight    = 3 // messages and writes on their way at once
)

// modelRef names one incarnation of an instance.
type modelRef struct{ node, incarnation int8 }

// modelObject is the shard's object at the platform.
type modelObject struct {
	epoch              int8
	primary, successor modelRef
}

// modelNode is one instance.
type modelNode struct {
	up          bool
	incarnation int8
	view        modelObject
	acting      bool // acts as primary in the epoch of its view
	alone       bool // needs no promise: the other keeper is proved gone
	writing     bool // a write of its own may still take effect
	resigned    bool
	claimed     bool // gives no more promises in this epoch
	held        int8 // ticks left of the promise held
	coming      int8 // ticks left of the promise that the written object's new successor makes at first sight
	replaceable int8 // ticks until the successor can't use a proof any more
	echoAge     int8 // age of the successor's newest answer when it left the successor
	promise     int8 // ticks left of the promise given
	window      int8 // ticks left in which a proof counts
	quiet       int8 // ticks until the last grant of others must have expired
}

type modelKind int8

const (
	noMessage modelKind = iota
	renewMessage
	promiseMessage
	resignMessage
	writeMessage
)

// modelMessage is one message, or one write on its way to the platform.
type modelMessage struct {
	kind     modelKind
	from, to modelRef
	age      int8        // ticks since the renewal was sent
	echoAge  int8        // age of the echoed or carried answer
	quiet    int8        // a resignation: ticks that the receiver must wait
	object   modelObject // a write: what to store; else the sender's view
}

// modelState is one state of the fleet; it is comparable, so that each is visited once.
type modelState struct {
	nodes   [modelNodes]modelNode
	object  modelObject
	flight  [maxFlight]modelMessage
	granted [modelNodes]int8 // ticks left of grants whose keeper lost its right
	limits  modelLimits
}

// modelLimits bound the search.
type modelLimits struct {
	flight  int8 // messages and writes on their way at once
	crashes int8 // still to come
	resign  bool // whether keepers may resign
}

// modelFault is a planted violation of one rule.
type modelFault int8

const (
	noFault modelFault = iota
	claimWithinPromise
	actWithoutWrite
	grantAtOnce
	promiseAfterClaim
	goOnAfterPromise
	replaceWithoutPromise
	replaceWithinPromise
	replaceCountedFromSend
	promiseWhileWriting
	aloneWithoutProof
	proofAfterWindow
	windowCountedFromReceipt
	primaryAloneWithoutProof
	primaryProofAfterPromise
	heldCountedFromReceipt
	unconditionalRelay
	ignoreIncarnation
	claimOnOneProof
	claimantGrantsAtOnce
	claimAtFirstSight
	resignWhileGranting
	resignWithoutWait
)

func newModel(limits modelLimits) modelState {
	s := modelState{limits: limits}
	s.object = modelObject{1, modelRef{0, 0}, modelRef{1, 0}}
	for i := range s.nodes {
		s.nodes[i] = modelNode{up: true, view: s.object, echoAge: noEcho}
	}
	s.nodes[0].acting = true
	s.nodes[0].held = promiseTicks
	s.nodes[1].promise = promiseTicks
	return s
}

// startStates are a new epoch, one in full exchange, one whose promise is about to end, and one in which
// the successor's newest answer was slow.
func startStates(limits modelLimits) []modelState {
	fresh := newModel(limits)
	steady := fresh
	steady.nodes[0].echoAge, steady.nodes[0].replaceable = 0, promiseTicks
	steady.nodes[1].window = promiseTicks
	late := steady
	late.tick()
	slow := steady
	slow.nodes[0].held--
	return []modelState{fresh, steady, late, slow}
}

// mayGrant tells whether an instance hands out tokens in this state.
func (n *modelNode) mayGrant() bool {
	return n.up && n.acting && n.quiet == 0 && (n.alone || n.held > 0)
}

// violated tells whether two instances can grant the same tokens.
func (s *modelState) violated() bool {
	for i := range s.nodes {
		if !s.nodes[i].mayGrant() {
			continue
		}
		for j := range s.nodes {
			if s.granted[j] > 0 || i != j && s.nodes[j].mayGrant() {
				return true
			}
		}
	}
	return false
}

// loseRight remembers the grants of an instance that stops granting.
func (s *modelState) loseRight(i int) {
	n := &s.nodes[i]
	if !n.mayGrant() {
		return
	}
	left := n.held
	if n.alone {
		left = promiseTicks
	}
	s.granted[i] = max(s.granted[i], left)
}

func (s *modelState) ref(i int) modelRef { return modelRef{int8(i), s.nodes[i].incarnation} }

// gone tells whether the incarnation has ended: the only fact that a proof may state.
func (s *modelState) gone(r modelRef) bool {
	n := s.nodes[r.node]
	return n.incarnation > r.incarnation || !n.up
}

func (s *modelState) send(m modelMessage) bool {
	for i := range s.flight {
		if s.flight[i] == m {
			return false
		}
	}
	for i := range s.limits.flight {
		if s.flight[i].kind == noMessage {
			s.flight[i] = m
			return true
		}
	}
	return false
}

// tick lets time pass for all clocks alike.
func (s *modelState) tick() {
	for i := range s.nodes {
		n := &s.nodes[i]
		for _, t := range []*int8{&n.held, &n.coming, &n.replaceable, &n.promise, &n.window, &n.quiet, &s.granted[i]} {
			*t = max(*t-1, 0)
		}
		n.echoAge = min(n.echoAge+1, noEcho)
	}
	for i := range s.flight {
		if m := &s.flight[i]; m.kind == renewMessage || m.kind == promiseMessage {
			m.age = min(m.age+1, noEcho)
			m.echoAge = min(m.echoAge+1, noEcho)
		}
	}
}
