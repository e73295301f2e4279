package allowance

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"teaselgate/platform"
	"teaselgate/rule"
)

// Delays of the simulated membership in listing a started instance and removing a stopped one.
const (
	joinLag    = 500 * time.Millisecond
	removalLag = 4 * time.Second
)

// simNode is one instance of a simulation. It lasts through all incarnations of the instance.
type simNode struct {
	sim            *sim
	index          int
	name, zone     string
	incarnation    uint64
	up             bool
	silent         bool // while down, its host doesn't refuse connections
	listed         bool // the membership lists it
	leaving        bool
	suspendedUntil time.Time // steps wait until then
	manager        *ShardManager
	client         *GrantClient
	waiting        []*simRequest // requests that wait for a grant
}

// simRequest is a request by a client account.
type simRequest struct {
	account     string
	tokens      int64 // tokens taken on admission
	used        int64 // tokens kept when the request is settled
	settleAfter time.Duration
	start       time.Time
	waiter      *waiter
}

var errSimNoReply = errors.New("sim: no reply")

func (n *simNode) instance() Instance {
	return Instance{Name: n.name, Incarnation: n.incarnation, Zone: n.zone, Peer: n.name}
}

// start begins a new incarnation.
func (n *simNode) start() {
	s := n.sim
	n.incarnation++
	n.up, n.silent, n.leaving, n.waiting = true, false, false, nil
	manager := NewShardManager(n.instance(), s.shards, s.now)
	writes := 0
	manager.NewWriteID = func() string {
		writes++
		return fmt.Sprintf("%s-%d-%d", n.name, n.incarnation, writes)
	}
	manager.Account = func(name string) (rule.Account, bool) {
		a, ok := s.rules[name]
		return a, ok
	}
	manager.Rank = n.rank
	manager.IsLive = func(instance Instance) bool {
		other := s.nodeByName(instance.Name)
		return other.listed && other.incarnation == instance.Incarnation
	}
	manager.SetStartFull(true)
	n.manager = manager
	n.client = NewGrantClient(s.shards, manager.Assignment)
	n.schedule(joinLag, func() { n.listed = true })
	n.announceIncarnation()
	n.readAllShards()
	n.runTicks()
}

// announceIncarnation tells the other instances of the new incarnation, which proves that the older ones are gone.
func (n *simNode) announceIncarnation() {
	s := n.sim
	old := Instance{Name: n.name, Incarnation: n.incarnation - 1}
	for _, other := range s.nodes {
		if other != n {
			other.schedule(s.drawLatency()+joinLag, func() {
				if s.connected(n.index, other.index) {
					other.manager.MarkGone(s.now, old)
				}
			})
		}
	}
}

// stop ends the current incarnation. If silent is set, its host doesn't refuse connections from then on.
func (n *simNode) stop(silent bool) {
	n.sim.keepGrantsInForce(n)
	n.up, n.silent, n.waiting = false, silent, nil
	incarnation := n.incarnation
	n.sim.schedule(removalLag, func() {
		if n.incarnation == incarnation {
			n.listed = false
		}
	})
}

// leave makes the instance hand over its shards, and stops it after the given time.
func (n *simNode) leave(after time.Duration) {
	n.leaving = true
	n.manager.Leave()
	n.schedule(after, func() { n.stop(false) })
}

// schedule runs a step of the current incarnation after a delay, or when its suspension ends. The step is dropped if
// the incarnation has ended by then.
func (n *simNode) schedule(d time.Duration, run func()) {
	if run == nil {
		return
	}
	incarnation := n.incarnation
	var step func()
	step = func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.sim.now.Before(n.suspendedUntil):
			n.sim.schedule(n.suspendedUntil.Sub(n.sim.now), step)
		default:
			run()
		}
	}
	n.sim.schedule(d, step)
}

// rank returns the ranked instances for a shard. The ranking is recomputed only if the membership has changed.
func (n *simNode) rank(shard int) []Instance {
	s := n.sim
	members := s.listedNodes()
	key := ""
	for _, m := range members {
		key += m.name + string(rune('0'+m.incarnation))
	}
	if key != s.rankingKey || s.ranking == nil {
		s.rankingKey = key
		instances := make([]Instance, len(members))
		for i, m := range members {
			instances[i] = m.instance()
		}
		s.ranking = make([][]Instance, s.shards)
		for i := range s.ranking {
			s.ranking[i] = rankInstances(instances, i)
		}
	}
	return s.ranking[shard]
}

func (n *simNode) runTicks() {
	n.runOnce()
	n.schedule(simTickInterval, n.runTicks)
}

// readAllShards reads the assignments of all shards from the platform, or else from the other instances, at the start
// and every 5 s.
func (n *simNode) readAllShards() {
	s := n.sim
	n.schedule(5*time.Second, n.readAllShards)
	if s.reachesPlatform(n) {
		for shard := range s.shards {
			n.manager.HandleRead(s.now, shard, s.assignments[shard].version, s.assignments[shard].assignment)
		}
		return
	}
	for _, other := range s.nodes {
		if other != n && other.up && s.connected(n.index, other.index) {
			n.manager.HandleKnownAssignments(s.now, other.manager.KnownAssignments())
		}
	}
}

// runOnce carries out the actions that are due at the instance.
func (n *simNode) runOnce() {
	s := n.sim
	plan := n.manager.Tick(s.now)
	for _, shard := range plan.Reads {
		n.readAssignment(shard)
	}
	for _, w := range plan.Writes {
		n.writeAssignment(w)
	}
	for _, renewal := range plan.Renewals {
		n.sendRenewal(renewal)
	}
	for _, resignation := range plan.Resignations {
		s.call(n, resignation.To, func(to *simNode) func() {
			to.manager.HandleResign(s.now, resignation.Args)
			return nil
		}, nil)
	}
	for _, instance := range plan.Probes {
		s.call(n, instance, func(*simNode) func() { return nil }, func() { n.manager.MarkGone(s.now, instance) })
	}
	for _, request := range n.client.planRequests(s.now) {
		n.sendTake(request)
	}
	n.collectAdmissions()
	s.recordConflict()
}

func (n *simNode) sendRenewal(renewal Renewal) {
	s := n.sim
	sent := s.now
	s.call(n, renewal.To, func(to *simNode) func() {
		reply := to.manager.HandleRenew(s.now, renewal.Args)
		return func() { n.manager.HandleRenewReply(s.now, sent, renewal, reply) }
	}, func() { n.manager.MarkGone(s.now, renewal.To) })
}

func (n *simNode) sendTake(request TakeRequest) {
	s := n.sim
	sent, finished := s.now, false
	finish := func(reply TakeReply, err error) {
		if !finished {
			finished = true
			n.client.handleReply(s.now, sent, request, reply, err)
			n.runOnce()
		}
	}
	if request.To.Name == n.name {
		reply := n.manager.HandleTake(s.now, request.Args)
		n.schedule(0, func() { finish(reply, nil) })
		return
	}
	n.schedule(simTakeTimeout, func() { finish(TakeReply{}, errSimNoReply) })
	s.call(n, request.To, func(to *simNode) func() {
		reply := to.manager.HandleTake(s.now, request.Args)
		return func() { finish(reply, nil) }
	}, func() { finish(TakeReply{}, errSimNoReply) })
}

func (n *simNode) readAssignment(shard int) {
	s := n.sim
	finished := false
	n.schedule(simPlatformTimeout, func() {
		if !finished {
			n.manager.HandleReadFailure(s.now, shard)
		}
	})
	s.schedule(s.drawLatency(), func() {
		if !s.reachesPlatform(n) {
			return
		}
		stored := s.assignments[shard]
		n.schedule(s.drawLatency(), func() {
			finished = true
			n.manager.HandleRead(s.now, shard, stored.version, stored.assignment)
			n.runOnce()
		})
	})
}

func (n *simNode) writeAssignment(w Write) {
	s := n.sim
	finished := false
	finish := func(version platform.Version, result WriteResult) {
		if !finished {
			finished = true
			n.manager.HandleWriteResult(s.now, w, result, version)
			n.runOnce()
		}
	}
	n.schedule(simPlatformTimeout, func() { finish(0, WriteUnknown) })
	s.schedule(s.drawLatency(), func() {
		if !s.reachesPlatform(n) {
			if s.platformOutage {
				n.schedule(s.drawLatency(), func() { finish(0, WriteNotApplied) })
			}
			return
		}
		version, result := s.writeAssignment(w)
		if s.writeRepliesToLose > 0 {
			s.writeRepliesToLose--
			return
		}
		n.schedule(s.drawLatency(), func() { finish(version, result) })
	})
}

// request makes a request for tokens at this instance. An admitted request is settled settleAfter later, and
// returns the tokens beyond used.
func (n *simNode) request(account string, tokens, used int64, settleAfter time.Duration) {
	s := n.sim
	if !n.up || s.now.Before(n.suspendedUntil) {
		return
	}
	r := &simRequest{account: account, tokens: tokens, used: used, settleAfter: settleAfter, start: s.now}
	result, w := n.client.take(s.now, account, tokens)
	if w != nil {
		r.waiter = w
		n.waiting = append(n.waiting, r)
		n.runOnce()
		return
	}
	n.finishRequest(r, result)
}

// collectAdmissions finishes the waiting requests that have been decided.
func (n *simNode) collectAdmissions() {
	n.waiting = slices.DeleteFunc(n.waiting, func(r *simRequest) bool {
		select {
		case result := <-r.waiter.result:
			n.finishRequest(r, result)
			return true
		default:
			return false
		}
	})
}

func (n *simNode) finishRequest(r *simRequest, result admission) {
	s := n.sim
	if result.err != nil {
		s.refused[r.account]++
		return
	}
	s.admitted++
	s.waitTime += s.now.Sub(r.start)
	admission := s.oracle.recordAdmission(s.now, r.account, r.tokens)
	n.schedule(r.settleAfter, func() {
		n.client.settle(s.now, result.debits, r.tokens-r.used)
		admission.tokens = r.used
	})
}
