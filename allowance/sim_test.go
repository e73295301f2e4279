package allowance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"teaselgate/platform"
	"teaselgate/rule"
)

// sim simulates a fleet with a fake clock, network and platform.
type sim struct {
	now         time.Time
	queue       simQueue // events to run
	lastOrder   int      // order of the newest event
	eventsAtNow int      // events run since the clock last advanced
	random      *rand.Rand
	shards      int
	rules       map[string]rule.Account
	nodes       []*simNode
	oracle      *oracle

	delay, jitter  time.Duration   // latency of a message: delay and up to jitter
	lossShare      float64         // share of messages lost
	duplicateShare float64         // share of requests delivered twice
	lateShare      float64         // share of messages delayed by up to maxLateDelay
	disconnected   map[[2]int]bool // pairs of instances, by index, lower one first

	platformOutage     bool
	writeRepliesToLose int                   // number of replies to writes that will be lost
	version            platform.Version      // newest version at the platform
	assignments        map[int]simAssignment // objects at the platform, by shard
	platformCut        map[int]bool          // instances that can't reach the platform, by index
	relaying           bool                  // instances relay calls to the platform for each other

	calls       int               // calls sent
	rankingKey  string            // members for which ranking was computed
	ranking     [][]Instance      // ranked instances, by shard
	grantsUntil map[int]time.Time // time until which grants of stopped instances may be in force, by shard
	conflict    error             // first case of two instances that could grant the same tokens
	admitted    int
	refused     map[string]int // refused requests, by account
	waitTime    time.Duration  // total wait of admitted requests
}

// Parameters of the simulation.
const (
	maxLateDelay       = 3 * time.Second
	simTickInterval    = 20 * time.Millisecond
	simTakeTimeout     = 250 * time.Millisecond
	simPlatformTimeout = time.Second
	maxEventsAtOnce    = 5000 // events without progress of the clock after which a simulation fails
)

// simAssignment is a stored object of a shard.
type simAssignment struct {
	version    platform.Version
	assignment Assignment
}

// simEvent is a function to run at a time. Events at the same time run by order.
type simEvent struct {
	at    time.Time
	order int
	run   func()
}

// simQueue is a heap of events.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newSim(seed uint64, nodes, shards int, rules ...rule.Account) *sim {
	s := &sim{
		now:          time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC),
		random:       rand.New(rand.NewPCG(seed, 1)),
		shards:       shards,
		rules:        make(map[string]rule.Account),
		delay:        time.Millisecond,
		jitter:       time.Millisecond,
		disconnected: make(map[[2]int]bool),
		assignments:  make(map[int]simAssignment),
		grantsUntil:  make(map[int]time.Time),
		platformCut:  make(map[int]bool),
		relaying:     true,
		refused:      make(map[string]int),
	}
	for _, a := range rules {
		s.rules[a.Account] = a
	}
	s.oracle = newOracle(s.now, rules)
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{sim: s, index: i, name: fmt.Sprintf("i%d", i), zone: fmt.Sprintf("z%d", i%3)})
		s.nodes[i].start()
	}
	return s
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.lastOrder++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.lastOrder, run})
}

// advance runs all events of the given time span.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		if s.eventsAtNow++; e.at.After(s.now) {
			s.eventsAtNow = 0
		}
		if s.eventsAtNow > maxEventsAtOnce {
			panic("sim: the clock does not advance")
		}
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) drawLatency() time.Duration {
	d := s.delay + time.Duration(s.random.Float64()*float64(s.jitter))
	if s.random.Float64() < s.lateShare {
		d += time.Duration(s.random.Float64() * float64(maxLateDelay))
	}
	return d
}

func (s *sim) connected(from, to int) bool {
	return !s.disconnected[[2]int{min(from, to), max(from, to)}]
}

// call delivers a request to an instance and its reply back. Either may be lost, and the request may be delivered
// twice. If the instance is down and its host refuses connections, refused runs instead.
func (s *sim) call(from *simNode, to Instance, serve func(*simNode) (reply func()), refused func()) {
	target := s.nodeByName(to.Name)
	if target == nil {
		return
	}
	s.calls++
	deliveries := 1
	if s.random.Float64() < s.duplicateShare {
		deliveries = 2
	}
	answered := false
	for range deliveries {
		if s.random.Float64() < s.lossShare {
			continue
		}
		s.schedule(s.drawLatency(), func() {
			if !s.connected(from.index, target.index) {
				return
			}
			if !target.up {
				if !target.silent {
					from.schedule(s.drawLatency(), refused)
				}
				return
			}
			target.schedule(0, func() {
				reply := serve(target)
				target.runOnce()
				if s.random.Float64() < s.lossShare || answered {
					return
				}
				answered = true
				s.schedule(s.drawLatency(), func() {
					if s.connected(from.index, target.index) {
						from.schedule(0, reply)
					}
				})
			})
		})
	}
}

func (s *sim) nodeByName(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// reachesPlatform reports whether an instance can call the platform, by itself or through another instance.
func (s *sim) reachesPlatform(n *simNode) bool {
	if s.platformOutage {
		return false
	}
	if !s.platformCut[n.index] {
		return true
	}
	for _, via := range s.nodes {
		if s.relaying && via.up && via != n && !s.platformCut[via.index] && s.connected(n.index, via.index) {
			return true
		}
	}
	return false
}

// writeAssignment carries out a conditional update.
func (s *sim) writeAssignment(w Write) (platform.Version, WriteResult) {
	if s.assignments[w.Shard].version != w.Version {
		return 0, WriteConflict
	}
	s.version++
	s.assignments[w.Shard] = simAssignment{s.version, w.Object}
	for _, n := range s.nodes {
		if s.reachesPlatform(n) {
			version, object := s.version, w.Object
			n.schedule(s.drawLatency(), func() { n.manager.HandleRead(s.now, w.Shard, version, object) })
		}
	}
	return s.version, WriteApplied
}

// listedNodes returns the instances that the membership lists as live.
func (s *sim) listedNodes() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if n.listed && !n.leaving {
			out = append(out, n)
		}
	}
	return out
}

// recordConflict records the first case of an instance that may make grants while another one may, too, or while grants
// of a stopped primary are in force.
func (s *sim) recordConflict() {
	for shard := range s.shards {
		var first *simNode
		for _, n := range s.nodes {
			if !n.up || n.manager.shards[shard].latestGrantDeadline(s.now).IsZero() {
				continue
			}
			if first != nil && s.conflict == nil {
				s.conflict = fmt.Errorf("%s and %s may both make grants for shard %d", first.name, n.name, shard)
			}
			first = n
			if s.now.Before(s.grantsUntil[shard]) && s.conflict == nil {
				s.conflict = fmt.Errorf("%s may make grants for shard %d while a stopped primary's are in force", n.name, shard)
			}
		}
	}
}

// keepGrantsInForce records until when grants of an instance that stops now may be in force.
func (s *sim) keepGrantsInForce(n *simNode) {
	for shard := range s.shards {
		if end := n.manager.shards[shard].latestGrantDeadline(s.now); end.After(s.grantsUntil[shard]) {
			s.grantsUntil[shard] = end
		}
	}
}
