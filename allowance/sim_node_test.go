package allowance

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"teaselgate/rule"
)

// Lag of the fake membership.
const (
	listedLag  = 500 * time.Millisecond
	missingLag = 4 * time.Second
)

// simNode is one instance of a sim, through all its incarnations.
type simNode struct {
	sim         *sim
	index       int
	name, zone  string
	incarnation uint64
	up          bool
	silent      bool // its host does not refuse connections while it is down
	listed      bool // the membership counts it
	leaving     bool
	paused      time.Time
	keeper      *ShardManager
	entry       *GrantClient
	waiting     []*simRequest
}

type simRequest struct {
	account string
	tokens  int64
	used    int64
	settle  time.Duration
	start   time.Time
	waiter  *waiter
}

var errSim = errors.New("sim: no answer")

func (n *simNode) holder() Instance {
	return Instance{Name: n.name, Incarnation: n.incarnation, Zone: n.zone, Peer: n.name}
}

// start runs a new incarnation.
func (n *simNode) start() {
	s := n.sim
	n.incarnation++
	n.up, n.silent, n.leaving, n.waiting = true, false, false, nil
	k := NewShardManager(n.holder(), s.shards, s.now)
	changes := 0
	k.NewWriteID = func() string {
		changes++
		return fmt.Sprintf("%s-%d-%d", n.name, n.incarnation, changes)
	}
	k.Account = func(name string) (rule.Account, bool) {
		a, ok := s.rules[name]
		return a, ok
	}
	k.Rank = n.rank
	k.IsLive = func(h Instance) bool {
		o := s.node(h.Name)
		return o.listed && o.incarnation == h.Incarnation
	}
	k.SetStartFull(true)
	n.keeper = k
	n.entry = NewGrantClient(s.shards, k.Assignment)
	n.deliver(listedLag, func() { n.listed = true })
	n.tellIncarnation()
	n.list()
	n.tick()
}

// tellIncarnation spreads the newer incarnation, which proves that the older ones are gone.
func (n *simNode) tellIncarnation() {
	s := n.sim
	old := Instance{Name: n.name, Incarnation: n.incarnation - 1}
	for _, o := range s.nodes {
		if o != n {
			o.deliver(s.latency()+listedLag, func() {
				if s.connected(n.index, o.index) {
					o.keeper.MarkGone(s.now, old)
				}
			})
		}
	}
}

// stop ends the incarnation at once.
func (n *simNode) stop(silent bool) {
	n.sim.lose(n)
	n.up, n.silent, n.waiting = false, silent, nil
	incarnation := n.incarnation
	n.sim.after(missingLag, func() {
		if n.incarnation == incarnation {
			n.listed = false
		}
	})
}

// leave hands the shards over; the instance stops a little later.
func (n *simNode) leave(after time.Duration) {
	n.leaving = true
	n.keeper.Leave()
	n.deliver(after, func() { n.stop(false) })
}

// deliver runs a step of this incarnation after a delay, or when its pause ends.
func (n *simNode) deliver(d time.Duration, run func()) {
	if run == nil {
		return
	}
	incarnation := n.incarnation
	var step func()
	step = func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.sim.now.Before(n.paused):
			n.sim.after(n.paused.Sub(n.sim.now), step)
		default:
			run()
		}
	}
	n.sim.after(d, step)
}

// rank orders the members as instances do; it is worked out anew only when the membership has changed.
func (n *simNode) rank(shard int) []Instance {
	s := n.sim
	members := s.members()
	key := ""
	for _, m := range members {
		key += m.name + string(rune('0'+m.incarnation))
	}
	if key != s.rankKey || s.ranks == nil {
		s.rankKey = key
		holders := make([]Instance, len(members))
		for i, m := range members {
			holders[i] = m.holder()
		}
		s.ranks = make([][]Instance, s.shards)
		for i := range s.ranks {
			s.ranks[i] = rankHolders(holders, i)
		}
	}
	return s.ranks[shard]
}

func (n *simNode) tick() {
	n.pump()
	n.deliver(simTick, n.tick)
}

// list reads all shards from the platform, at the start and now and then.
func (n *simNode) list() {
	s := n.sim
	n.deliver(5*time.Second, n.list)
	if s.reaches(n) {
		for shard := range s.shards {
			n.keeper.HandleRead(s.now, shard, s.objects[shard].version, s.objects[shard].shard)
		}
		return
	}
	for _, o := range s.nodes {
		if o != n && o.up && s.connected(n.index, o.index) {
			n.keeper.HandleKnownAssignments(s.now, o.keeper.KnownAssignments())
		}
	}
}

// pump carries out what the instance wants to do now.
func (n *simNode) pump() {
	s := n.sim
	plan := n.keeper.Tick(s.now)
	for _, shard := range plan.Reads {
		n.read(shard)
	}
	for _, w := range plan.Writes {
		n.write(w)
	}
	for _, r := range plan.Renewals {
		n.renew(r)
	}
	for _, r := range plan.Resignations {
		s.call(n, r.To, func(to *simNode) func() {
			to.keeper.HandleResign(s.now, r.Args)
			return nil
		}, nil)
	}
	for _, h := range plan.Probes {
		s.call(n, h, func(*simNode) func() { return nil }, func() { n.keeper.MarkGone(s.now, h) })
	}
	for _, a := range n.entry.plan(s.now) {
		n.ask(a)
	}
	n.collect()
	s.checkRights()
}

func (n *simNode) renew(r Renewal) {
	s := n.sim
	sent := s.now
	s.call(n, r.To, func(to *simNode) func() {
		reply := to.keeper.HandleRenew(s.now, r.Args)
		return func() { n.keeper.HandleRenewReply(s.now, sent, r, reply) }
	}, func() { n.keeper.MarkGone(s.now, r.To) })
}

func (n *simNode) ask(a TakeRequest) {
	s := n.sim
	sent, done := s.now, false
	end := func(reply TakeReply, err error) {
		if !done {
			done = true
			n.entry.answered(s.now, sent, a, reply, err)
			n.pump()
		}
	}
	if a.To.Name == n.name {
		reply := n.keeper.HandleTake(s.now, a.Args)
		n.deliver(0, func() { end(reply, nil) })
		return
	}
	n.deliver(askTimeout, func() { end(TakeReply{}, errSim) })
	s.call(n, a.To, func(to *simNode) func() {
		reply := to.keeper.HandleTake(s.now, a.Args)
		return func() { end(reply, nil) }
	}, func() { end(TakeReply{}, errSim) })
}

func (n *simNode) read(shard int) {
	s := n.sim
	done := false
	n.deliver(storeTimeout, func() {
		if !done {
			n.keeper.HandleReadFailure(s.now, shard)
		}
	})
	s.after(s.latency(), func() {
		if !s.reaches(n) {
			return
		}
		o := s.objects[shard]
		n.deliver(s.latency(), func() {
			done = true
			n.keeper.HandleRead(s.now, shard, o.version, o.shard)
			n.pump()
		})
	})
}

func (n *simNode) write(w Write) {
	s := n.sim
	done := false
	end := func(version uint64, e WriteResult) {
		if !done {
			done = true
			n.keeper.HandleWriteResult(s.now, w, e, version)
			n.pump()
		}
	}
	n.deliver(storeTimeout, func() { end(0, WriteUnknown) })
	s.after(s.latency(), func() {
		if !s.reaches(n) {
			if s.outage {
				n.deliver(s.latency(), func() { end(0, WriteNotApplied) })
			}
			return
		}
		version, e := s.writeObject(w)
		if s.loseAnswers > 0 {
			s.loseAnswers--
			return
		}
		n.deliver(s.latency(), func() { end(version, e) })
	})
}

// request lets a caller ask for tokens at this instance; used of them are kept after the settle time.
func (n *simNode) request(account string, tokens, used int64, settle time.Duration) {
	s := n.sim
	if !n.up || s.now.Before(n.paused) {
		return
	}
	r := &simRequest{account: account, tokens: tokens, used: used, settle: settle, start: s.now}
	a, w := n.entry.take(s.now, account, tokens)
	if w != nil {
		r.waiter = w
		n.waiting = append(n.waiting, r)
		n.pump()
		return
	}
	n.end(r, a)
}

// collect takes the answers to requests that waited.
func (n *simNode) collect() {
	n.waiting = slices.DeleteFunc(n.waiting, func(r *simRequest) bool {
		select {
		case a := <-r.waiter.done:
			n.end(r, a)
			return true
		default:
			return false
		}
	})
}

func (n *simNode) end(r *simRequest, a admission) {
	s := n.sim
	if a.err != nil {
		s.refused[r.account]++
		return
	}
	s.admitted++
	s.waited += s.now.Sub(r.start)
	admit := s.oracle.admit(s.now, r.account, r.tokens)
	n.deliver(r.settle, func() {
		n.entry.settle(s.now, a.parts, r.tokens-r.used)
		admit.tokens = r.used
	})
}
