package allowance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"teaselgate/rule"
)

// sim is a fleet under a fake clock, network and platform.
type sim struct {
	now    time.Time
	queue  simQueue
	order  int
	steps  int // events at one moment
	random *rand.Rand
	shards int
	rules  map[string]rule.Account
	nodes  []*simNode
	oracle *oracle

	delay, jitter time.Duration // of a message
	loss          float64       // share of messages lost
	twice         float64       // share of requests delivered twice
	late          float64       // share of messages delayed by up to lateTime
	cuts          map[[2]int]bool

	outage      bool
	loseAnswers int // answers to writes that are lost
	version     uint64
	objects     map[int]simObject
	platform    map[int]bool // instances cut from the platform
	relay       bool         // instances reach the platform through others

	messages int
	rankKey  string
	ranks    [][]Instance
	ended    map[int]time.Time // when the grants of lost keepers have ended, by shard
	shared   error             // the first time that two instances had the right to one shard
	admitted int
	refused  map[string]int
	waited   time.Duration
}

const (
	lateTime     = 3 * time.Second
	simTick      = 20 * time.Millisecond
	askTimeout   = 250 * time.Millisecond
	storeTimeout = time.Second
	maxSteps     = 5000
)

type simObject struct {
	version uint64
	shard   Assignment
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

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
		now:      time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC),
		random:   rand.New(rand.NewPCG(seed, 1)),
		shards:   shards,
		rules:    make(map[string]rule.Account),
		delay:    time.Millisecond,
		jitter:   time.Millisecond,
		cuts:     make(map[[2]int]bool),
		objects:  make(map[int]simObject),
		ended:    make(map[int]time.Time),
		platform: make(map[int]bool),
		relay:    true,
		refused:  make(map[string]int),
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

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.order, run})
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		if s.steps++; e.at.After(s.now) {
			s.steps = 0
		}
		if s.steps > maxSteps {
			panic("sim: time stands still")
		}
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) latency() time.Duration {
	d := s.delay + time.Duration(s.random.Float64()*float64(s.jitter))
	if s.random.Float64() < s.late {
		d += time.Duration(s.random.Float64() * float64(lateTime))
	}
	return d
}

func (s *sim) connected(from, to int) bool {
	return !s.cuts[[2]int{min(from, to), max(from, to)}]
}

// call carries a request to an incarnation and its answer back; each may be lost, the request may come twice.
// If nothing listens at the address any more, refused runs instead.
func (s *sim) call(from *simNode, to Instance, serve func(*simNode) (reply func()), refused func()) {
	target := s.node(to.Name)
	if target == nil {
		return
	}
	s.messages++
	copies := 1
	if s.random.Float64() < s.twice {
		copies = 2
	}
	answered := false
	for range copies {
		if s.random.Float64() < s.loss {
			continue
		}
		s.after(s.latency(), func() {
			if !s.connected(from.index, target.index) {
				return
			}
			if !target.up {
				if !target.silent {
					from.deliver(s.latency(), refused)
				}
				return
			}
			target.deliver(0, func() {
				reply := serve(target)
				target.pump()
				if s.random.Float64() < s.loss || answered {
					return
				}
				answered = true
				s.after(s.latency(), func() {
					if s.connected(from.index, target.index) {
						from.deliver(0, reply)
					}
				})
			})
		})
	}
}

func (s *sim) node(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// reaches tells whether an instance has a way to the platform, its own or through another.
func (s *sim) reaches(n *simNode) bool {
	if s.outage {
		return false
	}
	if !s.platform[n.index] {
		return true
	}
	for _, via := range s.nodes {
		if s.relay && via.up && via != n && !s.platform[via.index] && s.connected(n.index, via.index) {
			return true
		}
	}
	return false
}

// writeObject carries out a conditional update.
func (s *sim) writeObject(w Write) (uint64, WriteResult) {
	if s.objects[w.Shard].version != w.Version {
		return 0, WriteConflict
	}
	s.version++
	s.objects[w.Shard] = simObject{s.version, w.Object}
	for _, n := range s.nodes {
		if s.reaches(n) {
			version, object := s.version, w.Object
			n.deliver(s.latency(), func() { n.keeper.HandleRead(s.now, w.Shard, version, object) })
		}
	}
	return s.version, WriteApplied
}

// members returns the instances that an instance takes for live.
func (s *sim) members() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if n.listed && !n.leaving {
			out = append(out, n)
		}
	}
	return out
}

// checkRights notes when two instances may grant the same tokens.
func (s *sim) checkRights() {
	for shard := range s.shards {
		var first *simNode
		for _, n := range s.nodes {
			if !n.up || n.keeper.seats[shard].right(s.now).IsZero() {
				continue
			}
			if first != nil && s.shared == nil {
				s.shared = fmt.Errorf("%s and %s may both grant of shard %d", first.name, n.name, shard)
			}
			first = n
			if s.now.Before(s.ended[shard]) && s.shared == nil {
				s.shared = fmt.Errorf("%s may grant of shard %d before grants of a lost keeper have ended", n.name, shard)
			}
		}
	}
}

// lose notes until when the grants of an incarnation that ends now are in force.
func (s *sim) lose(n *simNode) {
	for shard := range s.shards {
		if end := n.keeper.seats[shard].right(s.now); end.After(s.ended[shard]) {
			s.ended[shard] = end
		}
	}
}
