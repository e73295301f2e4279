package slot

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"teaselgate/promise"
	"teaselgate/queue"
	"teaselgate/rule"
)

// Constants of shared slots.
const (
	// spareSlots is the number of requests that a server gets beyond its slots, so that none is idle while the end of a request
	// is reported and the next one is on its way.
	spareSlots     = 1
	maxOnTheWay    = 4.0                   // most requests for each slot, those on the way included
	initialLatency = 50 * time.Millisecond // of a service, before the first sample
	latencyWeight  = 0.05                  // weight of a new sample, so that noise of some tenths of a second passes
	fullPenalty    = 0.3                   // part by which the latency of a full server counts as longer than that of an empty one
	zonePenalty    = 2 * time.Millisecond  // counts for a server outside the instance's availability zone
	unsoundShare   = 0.15                  // a server that fails this part of its requests more than the soundest one is passed over for a moment
	latencyMargin  = 1.5                   // multiple of the mean latency that is kept for a request before its deadline
	maxFailures    = 3                     // failures in a row after which a server is paused
	minSharedPause = 500 * time.Millisecond
	maxSharedPause = 8 * time.Second
	leadSeconds    = 0.5 // seconds of the service's work by which urgent requests may lead
	leaseGrace     = 200 * time.Millisecond
	defaultLease   = 10 * time.Second       // of a request without a deadline
	minRetryIn     = 100 * time.Millisecond // shortest time after which a refused request may be repeated
	maxRetryIn     = 5 * time.Second
	unlimitedSlots = 1 << 20 // of a server that states none
	maxRetryBudget = 20.0    // retries that the shared budget allows at once
)

// Ask is a request for a slot.
type Ask struct {
	Key     string // id of the request and number of the attempt
	Account string
	Weight  int
	Rank    int
	Zone    string        // availability zone of the instance
	Zones   []string      // availability zones whose servers may be used; empty for all
	Exclude []string      // servers not to use
	Waited  time.Duration // time that the request waited before this call
	Left    time.Duration // time until the request's deadline; 0 if unknown
	Aim     time.Duration // target for the time to the answer; 0 for none
	First   bool          // the request's first attempt
	Retry   bool          // the attempt is to be paid from the shared retry budget

	Return       string        // tells the repeat of a refused request; empty if nothing is promised
	ReturnWithin time.Duration // longest time after which the caller repeats a refused request; 0 if unknown
}

// Decision is the outcome of an Ask.
type Decision struct {
	Key     string
	Server  string
	Err     error
	RetryIn time.Duration
	Waited  time.Duration
	InUse   int // requests at the server, including this one
}

// Report tells how an attempt ended.
type Report struct {
	Key    string
	Took   time.Duration
	Result Result
	Unused bool // the request was not sent to the server
}

// Core decides which requests get a slot of a service's servers, and which wait. It does no I/O, starts no goroutines and
// reads no clock: its callers pass in the time and serialize the calls.
type Core struct {
	RetryShare float64 // shared retries for each request

	servers   []*sharedServer
	queue     *queue.Fair
	waiting   map[string]*waitingAsk
	leases    map[string]*lease
	promises  promise.Ledger
	latency   float64 // mean latency of the service, in seconds
	transit   float64 // mean seconds between keeper and instance for an attempt: the decision's way and the report's
	retries   float64 // retries left in the shared budget
	lateRate  queue.RateMeter
	decisions []Decision
}

// sharedServer is what is known of a server from all instances.
type sharedServer struct {
	rule.Server
	inUse       int
	latency     float64 // mean, in seconds; 0 before the first sample
	failures    int     // in a row
	errors      errorRate
	pause       time.Duration
	pausedUntil queue.Instant
}

// lease is the use of a slot.
type lease struct {
	server   *sharedServer
	decision Decision
	since    queue.Instant
	until    queue.Instant // the slot counts as free then, if no report came
}

// waitingAsk is an Ask that waits for a slot.
type waitingAsk struct {
	queue.Item
	ask          Ask
	arrived      queue.Instant
	waitDeadline queue.Instant // an answer is not in time if the request gets a slot later
	deadline     queue.Instant
}

// NewCore returns a core without servers.
func NewCore() *Core {
	return &Core{
		queue: queue.NewFair(), waiting: make(map[string]*waitingAsk), leases: make(map[string]*lease),
		latency: initialLatency.Seconds(), retries: maxRetryBudget,
	}
}

// SetServers replaces the servers by those of the rules in force. Servers whose address is unchanged keep their counts.
func (c *Core) SetServers(servers []rule.Server) {
	known := make(map[string]*sharedServer, len(c.servers))
	for _, s := range c.servers {
		known[s.Server.Server] = s
	}
	c.servers = c.servers[:0:0]
	for _, server := range servers {
		s, ok := known[server.Server]
		if !ok || s.At != server.At {
			s = &sharedServer{}
		}
		if s.ColdPeriod != server.ColdPeriod {
			s.latency = 0
		}
		s.Server = server
		c.servers = append(c.servers, s)
	}
}

func (s *sharedServer) slots() int {
	if s.Slots <= 0 {
		return unlimitedSlots
	}
	return s.Slots
}

// usable reports whether the server may get a request. After a pause it gets one at a time until one succeeds.
func (s *sharedServer) usable(now queue.Instant) bool {
	if s.failures < maxFailures {
		return true
	}
	return !s.pausedUntil.After(now) && s.inUse == 0
}

// capacity returns the number of requests that keep all slots of a server in use. Part of them is on the way: an instance is
// about as far from its servers as from the keeper, so the time at the server is the latency less the transit
// without the time that reports wait to be sent.
func (c *Core) capacity(s *sharedServer) int {
	latency := c.latencyOf(s)
	atServer := max(latency-max(c.transit-reportDelay.Seconds(), 0), 2*latency/maxOnTheWay)
	return int(math.Round(float64(s.slots()) * min((latency+c.transit)/atServer, maxOnTheWay)))
}

// hasSlot reports whether a request would be run without a long wait at the server.
func (c *Core) hasSlot(s *sharedServer) bool { return s.inUse < c.capacity(s)+spareSlots }

// Submit asks for a slot. Submitting a waiting request again has no effect, and one that has a slot repeats its decision.
func (c *Core) Submit(now queue.Instant, a Ask) {
	if l, ok := c.leases[a.Key]; ok {
		c.decisions = append(c.decisions, l.decision)
		return
	}
	if _, ok := c.waiting[a.Key]; ok {
		return
	}
	if a.First {
		c.retries = min(c.retries+c.RetryShare, maxRetryBudget)
	}
	if !c.hasServerFor(&a) {
		c.decide(Decision{Key: a.Key, Err: noServer.New(noLiveServer), RetryIn: minRetryIn})
		return
	}
	if a.Retry {
		if c.retries < 1 {
			c.decide(Decision{Key: a.Key, Err: noRetry.New("slot: the shared retry budget is spent")})
			return
		}
		c.retries--
	}
	c.enqueue(now, a)
}

func (c *Core) decide(d Decision) { c.decisions = append(c.decisions, d) }

// enqueue queues a request, or refuses it at once if no slot will be free in time.
func (c *Core) enqueue(now queue.Instant, a Ask) {
	w := c.newWaiting(now, a)
	returned := c.promises.Redeem(now, a.Return) == promise.AsTold
	if returned {
		w.Patient, w.Returned = false, true
	}
	wait := c.predictWait(now, w)
	if w.Patient && now.Add(wait).After(w.Target) {
		w.Late = true
		wait = c.predictWait(now, w)
	}
	if c.queue.Len() >= queue.MaxLength || !returned && now.Add(wait).After(w.waitDeadline) {
		c.refuse(now, w, wait)
		return
	}
	c.waiting[a.Key] = w
	c.queue.Push(&w.Item)
}

func (c *Core) newWaiting(now queue.Instant, a Ask) *waitingAsk {
	w := &waitingAsk{ask: a, arrived: now.Add(-a.Waited)}
	margin := secondsOf(latencyMargin * c.latency)
	w.deadline = now.Add(cmp.Or(a.Left, defaultLease))
	w.waitDeadline = max(w.deadline.Add(-margin), now) // a request that need not wait is tried, however little time it has
	w.Item = queue.Item{Key: a.Key, Rank: a.Rank, Patient: a.Aim > 0, Cost: 1, Target: w.waitDeadline}
	if a.Aim > 0 {
		w.Target = min(w.Target, w.arrived.Add(max(a.Aim-margin, margin)))
	}
	c.queue.Assign(&w.Item, a.Account, a.Weight)
	return w
}

// predictWait estimates the wait of a new request: until those before it have a slot, at the rate at which slots become free.
func (c *Core) predictWait(now queue.Instant, w *waitingAsk) time.Duration {
	ahead := c.queue.CostAhead(&w.Item, 0)
	rate := c.rate(now, &w.ask)
	if w.BestEffort() {
		ahead = c.queue.LateCost(w.Rank)
	}
	if w.BestEffort() && c.queue.Len() > 0 {
		// Late requests get what on-time ones leave, which is next to nothing in a burst.
		rate = max(c.lateRate.PerSecond(), rate*queue.MinLateShare)
	}
	ahead += c.promises.Due(now, w.Rank)
	if c.queue.Len() == 0 && c.choose(now, &w.ask) != nil {
		return 0
	}
	return secondsOf((ahead + 1) / rate)
}

// rate returns the number of slots that become free per second at the servers that a request may use.
func (c *Core) rate(now queue.Instant, a *Ask) float64 {
	sum := 0.0
	for _, s := range c.servers {
		if a.allows(s.Server) && s.usable(now) {
			sum += float64(c.capacity(s)) / (c.latencyOf(s) + c.transit)
		}
	}
	return max(sum, 1)
}

func (c *Core) latencyOf(s *sharedServer) float64 { return cmp.Or(s.latency, c.latency) }

// refuse refuses a request that would get its slot too late, with the time at which it has one.
func (c *Core) refuse(now queue.Instant, w *waitingAsk, wait time.Duration) {
	retryIn := wait
	if w.ask.Return != "" {
		retryIn = secondsOf((c.queue.Cost() + c.promises.Outstanding(now, w.Rank) + 1) / c.rate(now, &w.ask))
	}
	retryIn = min(max(retryIn, minRetryIn), maxRetryIn)
	if w.ask.Return != "" && (w.ask.ReturnWithin == 0 || retryIn <= w.ask.ReturnWithin) {
		c.promises.Make(now, w.ask.Return, promise.Promise{Rank: w.Rank, Cost: 1, At: now.Add(retryIn)})
	}
	left := fmt.Sprintf("%v left", w.waitDeadline.Sub(now).Round(time.Millisecond))
	c.decide(Decision{Key: w.Key, RetryIn: retryIn, Waited: now.Sub(w.arrived), Err: full.New(
		"slot: the wait of %v would be too long: rank %d, %d wait for slots, %s", wait.Round(time.Millisecond), w.Rank, c.queue.Len(), left,
	)})
}

// Cancel takes back the Ask of a caller that has left, or frees its slot.
func (c *Core) Cancel(key string) {
	if w, ok := c.waiting[key]; ok {
		delete(c.waiting, key)
		c.queue.Remove(&w.Item)
	}
	c.free(key)
}

func (c *Core) free(key string) {
	if l, ok := c.leases[key]; ok {
		delete(c.leases, key)
		l.server.inUse--
	}
}

// Record frees the slot of an attempt that has ended, and records what that says about its server.
func (c *Core) Record(now queue.Instant, r Report) {
	l, ok := c.leases[r.Key]
	if !ok {
		return
	}
	c.free(r.Key)
	if r.Unused {
		return
	}
	s := l.server
	s.errors.observe(timeOf(now), r.Result != Answered, sharedErrorWeight)
	if r.Result == Failed {
		if s.failures++; s.failures >= maxFailures {
			s.pause = min(max(2*s.pause, minSharedPause), maxSharedPause)
			s.pausedUntil = now.Add(s.pause)
		}
		return
	}
	s.failures, s.pause = 0, 0
	if r.Result != Answered {
		return
	}
	observe := func(mean *float64) {
		if *mean == 0 {
			*mean = r.Took.Seconds()
		}
		*mean += latencyWeight * (r.Took.Seconds() - *mean)
	}
	observe(&s.latency)
	observe(&c.latency)
	c.transit += latencyWeight * (max(now.Sub(l.since)-r.Took, 0).Seconds() - c.transit)
}

// Decide gives free slots to waiting requests, refuses those that would be too late, and returns all decisions since the last
// call.
func (c *Core) Decide(now queue.Instant) []Decision {
	for key, l := range c.leases {
		if now.After(l.until) {
			c.free(key)
		}
	}
	c.lateRate.Advance(now, c.queue.LateCost(math.MaxInt32) > 0)
	c.sweep(now)
	for c.queue.Len() > 0 {
		c.queue.Lead = leadSeconds * c.rate(now, &Ask{}) / max(c.queue.ActiveWeight(), 1)
		if c.queue.Pick(now, func(i *queue.Item) bool { return c.give(now, c.waiting[i.Key]) }) == nil {
			break
		}
	}
	out := c.decisions
	c.decisions = nil
	return out
}

// sweep makes requests late that have missed their target, and refuses those that can no longer be answered in time.
func (c *Core) sweep(now queue.Instant) {
	var overdue []*waitingAsk
	for _, w := range c.waiting {
		if now.After(w.waitDeadline) || w.Patient && !w.Late && now.After(w.Target) {
			overdue = append(overdue, w)
		}
	}
	slices.SortFunc(overdue, func(a, b *waitingAsk) int {
		return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.Key, b.Key))
	})
	for _, w := range overdue {
		c.queue.Remove(&w.Item)
		if now.After(w.waitDeadline) {
			delete(c.waiting, w.Key)
			c.refuse(now, w, 0)
			continue
		}
		w.Late = true
		if wait := c.predictWait(now, w); now.Add(wait).After(w.waitDeadline) {
			delete(c.waiting, w.Key)
			c.refuse(now, w, wait)
			continue
		}
		c.queue.Push(&w.Item)
	}
	c.queue.RemoveIdle()
}

// give gives a request a slot, if there is one, and reports whether it did.
func (c *Core) give(now queue.Instant, w *waitingAsk) bool {
	s := c.choose(now, &w.ask)
	if s == nil {
		return false
	}
	s.inUse++
	d := Decision{Key: w.Key, Server: s.Server.Server, Waited: now.Sub(w.arrived), InUse: s.inUse}
	c.leases[w.Key] = &lease{server: s, decision: d, since: now, until: w.deadline.Add(leaseGrace)}
	delete(c.waiting, w.Key)
	if w.Late {
		c.lateRate.Add(w.Cost)
	}
	c.decide(d)
	return true
}

// State sums up the slots of a service.
type State struct {
	InUse   int
	Slots   int // of the servers that get requests
	Waiting int
	Retries float64 // left in the shared budget
}

// State returns the state of the service.
func (c *Core) State(now queue.Instant) State {
	s := State{Waiting: c.queue.Len(), Retries: c.retries}
	for _, server := range c.servers {
		s.InUse += server.inUse
		if server.State == rule.ServerLive && server.usable(now) && server.Slots > 0 {
			s.Slots += server.Slots
		}
	}
	return s
}

// timeOf returns an instant as a time of no particular day, for what measures spans only.
func timeOf(i queue.Instant) time.Time { return time.Unix(0, int64(i)) }

func secondsOf(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }
