package allowance

// successors lists all states that one step leads to.
func (s modelState) successors(f modelFault, visit func(modelState)) {
	next := s
	next.tick()
	visit(next)
	for i := range s.flight {
		if s.flight[i].kind != noMessage {
			s.deliverOrDrop(f, i, visit)
		}
	}
	for i := range s.nodes {
		s.lifeSteps(f, i, visit)
		if s.nodes[i].up {
			s.primarySteps(f, i, visit)
			s.successorSteps(f, i, visit)
			s.claimSteps(f, i, visit)
		}
	}
}

func (s modelState) deliverOrDrop(f modelFault, i int, visit func(modelState)) {
	m := s.flight[i]
	s.flight[i] = modelMessage{}
	visit(s)
	switch m.kind {
	case writeMessage:
		if m.object.epoch == s.object.epoch+1 || f == unconditionalRelay {
			m.object.epoch = s.object.epoch + 1
			s.object = m.object
			visit(s)
		}
	case renewMessage:
		s.receiveRenew(f, m, visit)
	case promiseMessage:
		s.receivePromise(f, m, visit)
	case resignMessage:
		s.receiveResign(m, visit)
	}
}

func (s modelState) addressed(f modelFault, r modelRef) bool {
	n := s.nodes[r.node]
	return n.up && (n.incarnation == r.incarnation || f == ignoreIncarnation)
}

func (s modelState) receiveRenew(f modelFault, m modelMessage, visit func(modelState)) {
	if !s.addressed(f, m.to) {
		return
	}
	n := &s.nodes[m.to.node]
	if m.object.epoch > n.view.epoch {
		s.adopt(f, int(m.to.node), m.object)
	}
	if m.object.epoch != n.view.epoch || n.acting || n.resigned || n.claimed && f != promiseAfterClaim {
		return
	}
	n.promise = promiseTicks
	fresh := promiseTicks - m.echoAge
	if f == windowCountedFromReceipt {
		fresh = promiseTicks
	}
	n.window = max(n.window, fresh)
	s.send(modelMessage{kind: promiseMessage, from: m.to, to: m.from, age: m.age, object: m.object})
	visit(s)
}

func (s modelState) receivePromise(f modelFault, m modelMessage, visit func(modelState)) {
	if !s.addressed(noFault, m.to) {
		return
	}
	n := &s.nodes[m.to.node]
	if m.object.epoch != n.view.epoch || !n.acting || n.alone || n.writing && f != promiseWhileWriting {
		return
	}
	fresh := promiseTicks - m.age
	if f == heldCountedFromReceipt {
		fresh = promiseTicks
	}
	n.held = max(n.held, fresh)
	n.echoAge = min(n.echoAge, m.echoAge)
	n.replaceable = promiseTicks
	if f == replaceCountedFromSend {
		n.replaceable = n.held
	}
	visit(s)
}

// receiveResign hands the right over; the message carries the buckets and what is granted of them.
func (s modelState) receiveResign(m modelMessage, visit func(modelState)) {
	n := &s.nodes[m.to.node]
	if !s.addressed(noFault, m.to) || m.object.epoch != n.view.epoch || n.resigned || n.claimed {
		return
	}
	if m.from == m.object.primary {
		n.acting, n.claimed, n.quiet = true, true, m.quiet
		s.granted[m.from.node] = 0
	}
	if n.acting && !n.writing {
		n.alone = true
		visit(s)
	}
}

// adopt takes a newer object into an instance's view.
func (s *modelState) adopt(f modelFault, i int, o modelObject) {
	n := &s.nodes[i]
	self := s.ref(i)
	switch self {
	case o.primary:
		n.acting, n.held, n.coming = true, max(n.held, n.coming), 0
		if f == replaceWithoutPromise {
			n.alone = true
		}
	case o.successor:
		s.loseRight(i)
		*n = modelNode{up: true, incarnation: n.incarnation, promise: promiseTicks}
		if f == claimAtFirstSight {
			n.promise = 0
		}
	default:
		s.loseRight(i)
		*n = modelNode{up: true, incarnation: n.incarnation}
	}
	n.view = o
	n.writing, n.claimed, n.resigned = false, false, false
	n.echoAge, n.replaceable, n.window = noEcho, 0, 0
}

// lifeSteps are crash, restart and reading the platform.
func (s modelState) lifeSteps(f modelFault, i int, visit func(modelState)) {
	n := &s.nodes[i]
	if !n.up {
		*n = modelNode{up: true, incarnation: n.incarnation + 1, echoAge: noEcho}
		visit(s)
		return
	}
	if s.object.epoch > n.view.epoch {
		next := s
		next.adopt(f, i, s.object)
		visit(next)
	}
	if s.limits.crashes > 0 {
		s.limits.crashes--
		s.loseRight(i)
		*n = modelNode{incarnation: n.incarnation}
		visit(s)
	}
}

// write sends a conditional update that names i primary, with each of the others as successor.
func (s modelState) write(i int, visit func(modelState)) {
	n := &s.nodes[i]
	if !n.writing {
		n.coming = promiseTicks
		if n.alone {
			n.held, n.alone = promiseTicks, false
		}
	}
	n.writing, n.claimed = true, true
	for j := range s.nodes {
		next := s
		o := modelObject{n.view.epoch + 1, s.ref(i), s.ref(j)}
		if j != i && next.send(modelMessage{kind: writeMessage, from: s.ref(i), object: o}) {
			visit(next)
		}
	}
}

// primarySteps are renewal, replacement of the successor, going on alone and resignation.
func (s modelState) primarySteps(f modelFault, i int, visit func(modelState)) {
	n := s.nodes[i]
	if !n.acting {
		return
	}
	if n.writing {
		s.write(i, visit)
	}
	successor := n.view.successor
	lost := s.gone(successor) || n.view.primary != s.ref(i)
	if n.view.primary == s.ref(i) && !n.alone && (!n.writing || f == promiseWhileWriting) {
		next := s
		if next.send(modelMessage{kind: renewMessage, from: s.ref(i), to: successor, echoAge: n.echoAge, object: n.view}) {
			visit(next)
		}
	}
	if n.writing {
		return
	}
	ranOut := n.held == 0 && n.replaceable == 0 || f == replaceCountedFromSend && n.held == 0
	if n.alone || ranOut || lost || f == replaceWithinPromise {
		s.write(i, visit)
	}
	proof := lost && (n.held > 0 || f == primaryProofAfterPromise)
	if !n.alone && (proof || f == goOnAfterPromise || f == primaryAloneWithoutProof && n.held > 0) {
		next := s
		next.nodes[i].alone = true
		visit(next)
	}
	if s.limits.resign && n.view.primary == s.ref(i) && n.held > 0 && !n.alone {
		s.resign(f, i, successor, visit)
	}
}

func (s modelState) resign(f modelFault, i int, to modelRef, visit func(modelState)) {
	n := &s.nodes[i]
	m := modelMessage{kind: resignMessage, from: s.ref(i), to: to, object: n.view, quiet: n.quiet}
	if f == resignWithoutWait {
		m.quiet = 0
	}
	if f != resignWhileGranting {
		s.loseRight(i)
		n.acting, n.held = false, 0
		n.resigned = true
	}
	if s.send(m) {
		visit(s)
	}
}

// successorSteps are the claim of rule 1, going on alone on proof, and resignation.
func (s modelState) successorSteps(f modelFault, i int, visit func(modelState)) {
	n := s.nodes[i]
	if n.acting || n.resigned || n.view.successor != s.ref(i) {
		return
	}
	proof := s.gone(n.view.primary)
	if n.writing || n.promise == 0 || proof || f == claimWithinPromise {
		next := s
		if !n.writing && f != grantAtOnce {
			next.nodes[i].quiet = n.promise
		}
		if f == claimWithinPromise {
			next.nodes[i].quiet = 0
		}
		next.write(i, visit)
	}
	if n.writing {
		return
	}
	inWindow := n.window > 0 || f == proofAfterWindow
	unproved := n.promise == 0 && (f == actWithoutWrite || f == aloneWithoutProof && n.window == 0)
	if proof && inWindow || unproved {
		next := s
		m := &next.nodes[i]
		m.acting, m.alone, m.claimed, m.quiet = true, true, true, n.promise
		visit(next)
	}
	if s.limits.resign {
		next := s
		next.nodes[i].resigned = true
		if next.send(modelMessage{kind: resignMessage, from: s.ref(i), to: n.view.primary, object: n.view}) {
			visit(next)
		}
	}
}

// claimSteps are the claim of an instance that is no keeper: both keepers are proved gone.
func (s modelState) claimSteps(f modelFault, i int, visit func(modelState)) {
	n := s.nodes[i]
	self := s.ref(i)
	if n.view.epoch == 0 || n.acting || n.view.primary == self || n.view.successor == self {
		return
	}
	first, second := s.gone(n.view.primary), s.gone(n.view.successor)
	if first && second || f == claimOnOneProof && (first || second) {
		if !n.writing && f != claimantGrantsAtOnce {
			s.nodes[i].quiet = promiseTicks
		}
		s.write(i, visit)
	}
}
