package allowance

// visitNextStates calls visit for each state that one step leads to.
func (s modelState) visitNextStates(fault modelFault, visit func(modelState)) {
	next := s
	next.tick()
	visit(next)
	for i := range s.inFlight {
		if s.inFlight[i].kind != noMessage {
			s.deliverOrDrop(fault, i, visit)
		}
	}
	for i := range s.nodes {
		s.lifecycleSteps(fault, i, visit)
		if s.nodes[i].up {
			s.primarySteps(fault, i, visit)
			s.successorSteps(fault, i, visit)
			s.thirdInstanceSteps(fault, i, visit)
		}
	}
}

func (s modelState) deliverOrDrop(fault modelFault, i int, visit func(modelState)) {
	m := s.inFlight[i]
	s.inFlight[i] = modelMessage{}
	visit(s)
	switch m.kind {
	case writeMessage:
		if m.assignment.epoch == s.assignment.epoch+1 || fault == unconditionalRelay {
			m.assignment.epoch = s.assignment.epoch + 1
			s.assignment = m.assignment
			visit(s)
		}
	case renewMessage:
		s.receiveRenew(fault, m, visit)
	case leaseMessage:
		s.receiveLease(fault, m, visit)
	case resignMessage:
		s.receiveResign(m, visit)
	}
}

func (s modelState) accepts(fault modelFault, r modelRef) bool {
	n := s.nodes[r.node]
	return n.up && (n.incarnation == r.incarnation || fault == ignoreIncarnation)
}

func (s modelState) receiveRenew(fault modelFault, m modelMessage, visit func(modelState)) {
	if !s.accepts(fault, m.to) {
		return
	}
	n := &s.nodes[m.to.node]
	if m.assignment.epoch > n.view.epoch {
		s.adoptAssignment(fault, int(m.to.node), m.assignment)
	}
	if m.assignment.epoch != n.view.epoch || n.acting || n.resigned ||
		n.leasesStopped && fault != leaseAfterTakeover {
		return
	}
	n.issuedTicks = leaseDurationTicks
	ticks := leaseDurationTicks - m.echoAge
	if fault == proofCountedFromReceipt {
		ticks = leaseDurationTicks
	}
	n.proofTicks = max(n.proofTicks, ticks)
	s.send(modelMessage{kind: leaseMessage, from: m.to, to: m.from, age: m.age, assignment: m.assignment})
	visit(s)
}

func (s modelState) receiveLease(fault modelFault, m modelMessage, visit func(modelState)) {
	if !s.accepts(noFault, m.to) {
		return
	}
	n := &s.nodes[m.to.node]
	if m.assignment.epoch != n.view.epoch || !n.acting || n.sole || n.writing && fault != acceptLeaseWhileWriting {
		return
	}
	ticks := leaseDurationTicks - m.age
	if fault == leaseCountedFromReceipt {
		ticks = leaseDurationTicks
	}
	n.leaseTicks = max(n.leaseTicks, ticks)
	n.echoAge = min(n.echoAge, m.echoAge)
	n.replaceableTicks = leaseDurationTicks
	if fault == replaceableCountedFromSend {
		n.replaceableTicks = n.leaseTicks
	}
	visit(s)
}

// receiveResign handles the resignation of a primary or of a successor. That of a primary carries the buckets with
// their outstanding grants, which then no longer count as grants of another instance.
func (s modelState) receiveResign(m modelMessage, visit func(modelState)) {
	n := &s.nodes[m.to.node]
	if !s.accepts(noFault, m.to) || m.assignment.epoch != n.view.epoch || n.resigned || n.leasesStopped {
		return
	}
	if m.from == m.assignment.primary {
		n.acting, n.leasesStopped, n.noGrantTicks = true, true, m.noGrantTicks
		s.grantTicks[m.from.node] = 0
	}
	if n.acting && !n.writing {
		n.sole = true
		visit(s)
	}
}

// adoptAssignment makes a newer object the view of an instance.
func (s *modelState) adoptAssignment(fault modelFault, i int, a modelAssignment) {
	n := &s.nodes[i]
	self := s.ref(i)
	switch self {
	case a.primary:
		n.acting, n.leaseTicks, n.pendingLeaseTicks = true, max(n.leaseTicks, n.pendingLeaseTicks), 0
		if fault == actWithoutNewLease {
			n.sole = true
		}
	case a.successor:
		s.keepGrantsInForce(i)
		*n = modelNode{up: true, incarnation: n.incarnation, issuedTicks: leaseDurationTicks}
		if fault == takeOverWithoutInitialLease {
			n.issuedTicks = 0
		}
	default:
		s.keepGrantsInForce(i)
		*n = modelNode{up: true, incarnation: n.incarnation}
	}
	n.view = a
	n.writing, n.leasesStopped, n.resigned = false, false, false
	n.echoAge, n.replaceableTicks, n.proofTicks = noEcho, 0, 0
}

// lifecycleSteps visits crash, restart and reading the platform.
func (s modelState) lifecycleSteps(fault modelFault, i int, visit func(modelState)) {
	n := &s.nodes[i]
	if !n.up {
		*n = modelNode{up: true, incarnation: n.incarnation + 1, echoAge: noEcho}
		visit(s)
		return
	}
	if s.assignment.epoch > n.view.epoch {
		next := s
		next.adoptAssignment(fault, i, s.assignment)
		visit(next)
	}
	if s.limits.crashes > 0 {
		s.limits.crashes--
		s.keepGrantsInForce(i)
		*n = modelNode{incarnation: n.incarnation}
		visit(s)
	}
}

// write sends conditional updates that name i primary, with each of the other instances as successor.
func (s modelState) write(i int, visit func(modelState)) {
	n := &s.nodes[i]
	if !n.writing {
		n.pendingLeaseTicks = leaseDurationTicks
		if n.sole {
			n.leaseTicks, n.sole = leaseDurationTicks, false
		}
	}
	n.writing, n.leasesStopped = true, true
	for j := range s.nodes {
		next := s
		a := modelAssignment{n.view.epoch + 1, s.ref(i), s.ref(j)}
		if j != i && next.send(modelMessage{kind: writeMessage, from: s.ref(i), assignment: a}) {
			visit(next)
		}
	}
}

// primarySteps visits renewal, replacement of the successor, acting without a lease, and resignation.
func (s modelState) primarySteps(fault modelFault, i int, visit func(modelState)) {
	n := s.nodes[i]
	if !n.acting {
		return
	}
	if n.writing {
		s.write(i, visit)
	}
	successor := n.view.successor
	otherGone := s.hasEnded(successor) || n.view.primary != s.ref(i)
	if n.view.primary == s.ref(i) && !n.sole && (!n.writing || fault == acceptLeaseWhileWriting) {
		next := s
		if next.send(modelMessage{
			kind: renewMessage, from: s.ref(i), to: successor, echoAge: n.echoAge, assignment: n.view,
		}) {
			visit(next)
		}
	}
	if n.writing {
		return
	}
	mayReplace := n.leaseTicks == 0 && n.replaceableTicks == 0 || fault == replaceableCountedFromSend && n.leaseTicks == 0
	if n.sole || mayReplace || otherGone || fault == replaceDuringLease {
		s.write(i, visit)
	}
	proof := otherGone && (n.leaseTicks > 0 || fault == primaryProofAfterLease)
	if !n.sole && (proof || fault == actAfterLease || fault == primarySoleWithoutProof && n.leaseTicks > 0) {
		next := s
		next.nodes[i].sole = true
		visit(next)
	}
	if s.limits.resignations && n.view.primary == s.ref(i) && n.leaseTicks > 0 && !n.sole {
		s.resign(fault, i, successor, visit)
	}
}

func (s modelState) resign(fault modelFault, i int, to modelRef, visit func(modelState)) {
	n := &s.nodes[i]
	m := modelMessage{kind: resignMessage, from: s.ref(i), to: to, assignment: n.view, noGrantTicks: n.noGrantTicks}
	if fault == handOverWithoutGrantDelay {
		m.noGrantTicks = 0
	}
	if fault != resignWhileGranting {
		s.keepGrantsInForce(i)
		n.acting, n.leaseTicks = false, 0
		n.resigned = true
	}
	if s.send(m) {
		visit(s)
	}
}

// successorSteps visits takeover (rule 1), acting without a lease on a proof (rule 3), and resignation.
func (s modelState) successorSteps(fault modelFault, i int, visit func(modelState)) {
	n := s.nodes[i]
	if n.acting || n.resigned || n.view.successor != s.ref(i) {
		return
	}
	proof := s.hasEnded(n.view.primary)
	if n.writing || n.issuedTicks == 0 || proof || fault == takeOverDuringLease {
		next := s
		if !n.writing && fault != grantBeforeOldGrantsExpire {
			next.nodes[i].noGrantTicks = n.issuedTicks
		}
		if fault == takeOverDuringLease {
			next.nodes[i].noGrantTicks = 0
		}
		next.write(i, visit)
	}
	if n.writing {
		return
	}
	proofCounts := n.proofTicks > 0 || fault == successorProofAfterLease
	withoutProof := n.issuedTicks == 0 && (fault == actWithoutWrite || fault == soleWithoutProof && n.proofTicks == 0)
	if proof && proofCounts || withoutProof {
		next := s
		successor := &next.nodes[i]
		successor.acting, successor.sole, successor.leasesStopped, successor.noGrantTicks = true, true, true, n.issuedTicks
		visit(next)
	}
	if s.limits.resignations {
		next := s
		next.nodes[i].resigned = true
		if next.send(modelMessage{kind: resignMessage, from: s.ref(i), to: n.view.primary, assignment: n.view}) {
			visit(next)
		}
	}
}

// thirdInstanceSteps visits takeover by an instance that is neither primary nor successor, with proofs that both are
// gone.
func (s modelState) thirdInstanceSteps(fault modelFault, i int, visit func(modelState)) {
	n := s.nodes[i]
	self := s.ref(i)
	if n.view.epoch == 0 || n.acting || n.view.primary == self || n.view.successor == self {
		return
	}
	primaryGone, successorGone := s.hasEnded(n.view.primary), s.hasEnded(n.view.successor)
	if primaryGone && successorGone || fault == takeOverOnOneProof && (primaryGone || successorGone) {
		if !n.writing && fault != thirdGrantsBeforeOldGrantsExpire {
			s.nodes[i].noGrantTicks = leaseDurationTicks
		}
		s.write(i, visit)
	}
}
