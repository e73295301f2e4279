package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// Limits of a cell.
const (
	maxRetryWait       = 10 * time.Second       // longest wait of a request whose first place failed
	firstTokenMargin   = 60 * time.Millisecond  // kept free of the first token's target for the network and the first step
	longPromptFactor   = 1.5                    // a prompt too long for the target may take this many times its idle time
	maxPrefillBacklog  = 40 * time.Millisecond  // work kept ready at a prefill server
	maxRebuildTime     = time.Second            // a new dispatcher places at the latest after this time
	reservationGrace   = 30 * time.Second       // a place is taken back this long after its predicted end
	abandonTimeout     = 2 * time.Second        // a waiting request that its instance does not ask for any more
	prefillZonePenalty = 2 * time.Millisecond   // for work outside the availability zone of the instance
	decodeZonePenalty  = 200 * time.Microsecond // the same, against the length of a decode step
	maxWaitShare       = 0.9                    // share of the time left that the predicted wait may take
	bestEffortHeadroom = 1                      // requests that must still fit beside a late one, for those that can be on time
)

// PlaceRequest is what a dispatcher needs to know of a request.
type PlaceRequest struct {
	Key          string // request and attempt
	From         string // name of the instance that asks
	Account      string
	Weight       int
	Class        rule.Class
	PromptTokens int
	MaxTokens    int
	Ceiling      int // more output tokens than MaxTokens may come, up to this number; 0 if not
	Prefixes     []string
	Zone         string
	Exclude      []string
	Waited       time.Duration // before this dispatcher was asked
	Left         time.Duration // until the caller stops waiting; 0 if that is not known
	Charge       int64         // tokens to take from the account's rate
	Rate         float64       // of the account, tokens a second
	Burst        float64       // tokens
}

// Decision answers one Ask: a place, or an error with the time to come back.
type Decision struct {
	Key     string
	Prefill string
	Decode  string
	Early   bool // a report is wanted as soon as the transfer has ended
	Err     error
	RetryIn time.Duration
	Inputs  Inputs
}

// Inputs are what a place was decided by.
type Inputs struct {
	Waited  time.Duration // at the dispatcher
	Prefill time.Duration // until the prompt is expected to be computed
	Pieces  int           // of the decode server's memory given out, with this request's
	Total   int           // pieces that may be given out
	Streams int           // at the decode server, with this request's
}

// reservation is a place that was given.
type reservation struct {
	key                string
	owner              string // instance that holds it; empty if engines are asked instead
	prefill            *prefillServer
	decode             *decodeServer
	pieces             int
	promptTokens       int
	maxTokens          int
	ceiling            int // of maxTokens, which rises for a stream that lasts longer than expected
	cachedTokens       int
	prefixes           []string
	work               work
	previousPrefill    *prefillEnd // of the request before it at the prefill server
	prefillEnd         *prefillEnd
	prefillBooking     booking
	transferBooking    booking
	placedAt           instant
	deadline           instant // the place is taken back if no report comes
	endProgress        float64
	startStreamSeconds float64
	earlyReport        bool // a report is wanted as soon as the transfer has ended
	prefillRecorded    bool // the prefill was reported
	discovered         bool // found at a server by a new dispatcher
	inputs             Inputs
}

// Targets are what a cell works towards.
type Targets struct {
	FirstToken    time.Duration // until the first token
	TokenInterval time.Duration // between tokens
	MaxWait       time.Duration // longest wait of slow work
}

// Core decides on the places of one cell. It does not wait and starts nothing: time is passed in.
type Core struct {
	prefills      []*prefillServer
	decodes       []*decodeServer
	pool          rule.Pool // of the decode servers
	targets       Targets
	poolStep      poolStepModel
	hints         hints
	queue         *fairQueue
	items         map[string]*item
	reservations  map[string]*reservation
	costRate      costRateMeter // cost placed per second while requests wait
	lateCostRate  costRateMeter
	limiter       rateLimiter
	demand        demand
	lastReachable map[string]instant // instances, when they were last heard
	pausedUntil   map[string]instant // servers that get no new work, until when
	backlog       bool               // requests were left waiting by the last step
	holdingsKnown bool               // the instances told what they hold, or took too long
	started       instant
	lastSweep     instant
	decisions     []Decision
}

// NewCore returns a core without servers.
func NewCore(now instant) *Core {
	return &Core{
		poolStep:      newPoolStepModel(),
		hints:         newHints(),
		queue:         newFairQueue(),
		items:         make(map[string]*item),
		reservations:  make(map[string]*reservation),
		limiter:       newRateLimiter(),
		lastReachable: make(map[string]instant),
		pausedUntil:   make(map[string]instant),
		started:       now,
		lastSweep:     now,
	}
}

// SetServers takes in the servers of the rules in force. Places at servers that are gone end with
// their reports.
func (c *Core) SetServers(now instant, prefills, decodes []rule.Server, pool rule.Pool, targets Targets) {
	c.targets, c.pool = targets, pool
	prefill, link := c.meanRates()
	c.prefills = mergeServers(c.prefills, prefills,
		func(p *prefillServer) *rule.Server { return &p.server },
		func() *prefillServer {
			return &prefillServer{rate: rateEstimate{perSecond: prefill}, linkRate: rateEstimate{perSecond: link}, hintAccuracy: 1}
		})
	c.decodes = mergeServers(c.decodes, decodes,
		func(d *decodeServer) *rule.Server { return &d.server },
		func() *decodeServer { return &decodeServer{steps: newServerStepModel(&c.poolStep), advancedAt: now} })
	for _, d := range c.decodes {
		d.slots, d.pieces = pool.Slots, pool.Pieces
		d.batchLimit = d.steps.limit(d.slots, c.targets.TokenInterval)
	}
}

// mergeServers keeps the state of servers that stay.
func mergeServers[T any](old []*T, servers []rule.Server, field func(*T) *rule.Server, create func() *T) []*T {
	known := make(map[string]*T, len(old))
	for _, s := range old {
		known[field(s).Server] = s
	}
	out := make([]*T, 0, len(servers))
	for _, server := range servers {
		s, ok := known[server.Server]
		if !ok || field(s).At != server.At {
			s = create()
		}
		*field(s) = server
		out = append(out, s)
	}
	return out
}

// rates returns the mean rates of the prefill servers and their links, of those learnt if there are.
func (c *Core) meanRates() (prefill, link float64) {
	return meanRate(c.prefills, initialPrefillRate, func(p *prefillServer) rateEstimate { return p.rate }),
		meanRate(c.prefills, initialLinkRate, func(p *prefillServer) rateEstimate { return p.linkRate })
}

func meanRate(servers []*prefillServer, initial float64, rateOf func(*prefillServer) rateEstimate) float64 {
	sum, n := 0.0, 0.0
	for _, p := range servers {
		if r := rateOf(p); r.hasSamples() {
			sum, n = sum+r.perSecond, n+1
		}
	}
	if n == 0 {
		return initial
	}
	return sum / n
}

// Submit queues a request. A repeated offer of a waiting request changes nothing; one of a placed
// request gives its place again.
func (c *Core) Submit(now instant, request PlaceRequest) {
	if r, ok := c.reservations[request.Key]; ok {
		if !r.discovered && r.prefill != nil {
			c.decisions = append(c.decisions, r.decision())
			return
		}
		c.Release(now, request.Key, Report{})
	}
	if _, ok := c.items[request.Key]; ok {
		return
	}
	if wait, ok := c.limiter.charge(now, request); !ok {
		c.decisions = append(c.decisions, Decision{Key: request.Key, Err: overRate.New("cell: account %s is over its rate", request.Account), RetryIn: wait})
		return
	}
	i := c.newItem(now, request)
	if retry, err := c.admit(now, i); err != nil {
		c.limiter.refund(request)
		c.decisions = append(c.decisions, Decision{Key: request.Key, Err: err, RetryIn: retry})
		return
	}
	c.items[request.Key] = i
	c.queue.push(i)
}

func (c *Core) newItem(now instant, request PlaceRequest) *item {
	i := &item{request: request, account: c.queue.account(request.Account, request.Weight)}
	i.cost = float64(request.PromptTokens + outputTokenCost*request.MaxTokens)
	i.arrived = now.Add(-request.Waited)
	idle := c.unloadedPrefillTime(request)
	budget := max(c.targets.FirstToken-firstTokenMargin-idle, time.Duration(longPromptFactor*float64(idle)))
	i.targetDeadline = i.arrived.Add(budget)
	i.answerDeadline = i.arrived.Add(c.targets.MaxWait)
	retryLimit := now.Add(maxRetryWait)
	if request.Left > 0 {
		first := now.Add(request.Left - idle)
		i.targetDeadline, retryLimit = min(i.targetDeadline, first), min(retryLimit, first)
		i.answerDeadline = min(i.answerDeadline, first.Add(-c.minStreamTime(request.MaxTokens)))
	}
	i.waitDeadline = i.targetDeadline
	switch {
	case c.isRetry(i):
		i.waitDeadline = retryLimit
	case !i.urgent():
		i.waitDeadline = i.answerDeadline
		i.late = now.After(i.targetDeadline)
	case i.request.Class == rule.ClassPatient && now.After(i.targetDeadline):
		c.markLate(i)
	}
	return i
}

// idleTime is the time to compute and transfer a prompt in an idle cell.
func (c *Core) unloadedPrefillTime(request PlaceRequest) time.Duration {
	prefill, link := c.meanRates()
	return seconds(float64(request.PromptTokens)/prefill + float64(request.PromptTokens)/link)
}

// streamTime is the least time to generate an answer; 0 before a step was measured.
func (c *Core) minStreamTime(tokens int) time.Duration {
	if c.poolStep.samples == 0 {
		return 0
	}
	return seconds(float64(tokens) * c.poolStep.mean(1))
}

// Cancel takes back a request that its caller does not want any more.
func (c *Core) Cancel(now instant, key string) {
	if i, ok := c.items[key]; ok {
		delete(c.items, key)
		c.queue.remove(i)
		c.limiter.refund(i.request)
	}
	c.Release(now, key, Report{})
}

// RecordProgress learns from a prefill and its transfer while the place is still held.
func (c *Core) RecordProgress(now instant, key string, report Report) {
	if r, ok := c.reservations[key]; ok && r.prefill != nil {
		c.observePrefill(now, r, report)
	}
}

func (c *Core) observePrefill(now instant, r *reservation, report Report) {
	if r.prefillRecorded || report.Prefilled.IsZero() {
		return
	}
	r.prefillRecorded = true
	r.prefill.health.recordSuccess(now)
	r.prefill.observe(now, r, report)
}

// Release ends a place and learns from how it went.
func (c *Core) Release(now instant, key string, report Report) {
	r, ok := c.reservations[key]
	if !ok {
		return
	}
	delete(c.reservations, key)
	c.advance(now, r.decode)
	r.decode.remove(r)
	if r.prefill == nil {
		return
	}
	r.prefill.finish(now, r, report)
	if report.Placed.IsZero() {
		return
	}
	c.observeResult(now, r, report)
}

func (c *Core) observeResult(now instant, r *reservation, report Report) {
	d := r.decode
	c.observePrefill(now, r, report)
	c.observeStep(now, r, report)
	switch {
	case report.Refused:
		d.recordRefusal(now, r.pieces)
	case report.BadDecode:
		d.health.recordCallFailure(now)
	case report.Generated > 0:
		d.health.recordSuccess(now)
	case report.BadPrefill:
		r.prefill.health.recordCallFailure(now)
	}
}

// learnStep learns from a whole stream; one that broke tells nothing of the time that steps take.
func (c *Core) observeStep(now instant, r *reservation, report Report) {
	span := now.Sub(r.placedAt).Seconds()
	if report.BadDecode || report.Imported.IsZero() || report.Generated == 0 || span <= 0 {
		return
	}
	if c.poolStep.samples == 0 {
		c.demand = demand{at: now} // what was counted rested on the initial step time
	}
	d, took := r.decode, report.Ended.Sub(report.Imported)
	d.steps.observe(now, (d.streamSeconds-r.startStreamSeconds)/span, took/time.Duration(report.Generated))
	d.batchLimit = d.steps.limit(d.slots, c.targets.TokenInterval)
	factors := make([]float64, 0, len(c.decodes))
	for _, d := range c.decodes {
		factors = append(factors, d.steps.factor)
	}
	c.poolStep.updateTypical(factors)
}

// Step places what can be placed, refuses what can no longer be useful, and returns all decisions
// since the last step.
func (c *Core) Step(now instant) []Decision {
	c.costRate.advance(now, c.backlog)
	c.lateCostRate.advance(now, c.backlog && c.queue.lateCost > 0)
	c.queue.maxCredit = c.urgentLead()
	c.sweep(now)
	ready := c.readyToPlace(now)
	if ready {
		for c.queue.length > 0 {
			if c.queue.pick(now, c.urgentLead(), func(i *item) bool { return c.tryPlace(now, i) }) == nil {
				break
			}
		}
	}
	c.backlog = ready && c.queue.length > 0
	out := c.decisions
	c.decisions = nil
	return out
}

// lead is the cost by which urgent work may run ahead of its account's share.
func (c *Core) urgentLead() float64 {
	return c.costRate.perSecond() * maxUrgentLeadSeconds / max(c.queue.activeWeight, 1)
}

// QueueLength returns the number of requests that wait.
func (c *Core) QueueLength() int { return c.queue.length }

// place gives a request a place if there is one.
func (c *Core) tryPlace(now instant, i *item) bool {
	p, w, cached := c.choosePrefill(now, &i.request)
	if p == nil {
		return false
	}
	pieces := c.piecesNeeded(i.request)
	need := pieces
	if i.bestEffort() {
		need += bestEffortHeadroom * pieces
	}
	d := c.chooseDecode(now, &i.request, need, w.end.Sub(now))
	if d == nil {
		return false
	}
	r := &reservation{
		key: i.request.Key, owner: i.request.From, prefill: p, decode: d, pieces: pieces, promptTokens: i.request.PromptTokens,
		maxTokens: i.request.MaxTokens, ceiling: i.request.Ceiling, cachedTokens: cached, prefixes: i.request.Prefixes, work: w, placedAt: now,
	}
	p.book(r)
	c.advance(now, d)
	d.add(r, w.linkEnd.Sub(now))
	c.demand.add(now, r, seconds(float64(r.maxTokens)*d.steps.step(len(d.streams))))
	r.deadline = w.linkEnd.Add(seconds(float64(r.maxTokens) * d.steps.step(d.slots))).Add(reservationGrace)
	c.reservations[r.key] = r
	c.hints.recordStored(now, p, r.prefixes)
	delete(c.items, r.key)
	if c.backlog {
		c.costRate.add(i.cost)
	}
	if c.backlog && i.late {
		c.lateCostRate.add(i.cost)
	}
	r.earlyReport = p.wantsEarlyReport(now)
	r.inputs = Inputs{
		Waited: now.Sub(i.arrived), Prefill: w.end.Sub(now), Pieces: d.usedPieces, Total: d.pieces, Streams: len(d.streams),
	}
	c.decisions = append(c.decisions, r.decision())
	return true
}

func (r *reservation) decision() Decision {
	return Decision{Key: r.key, Prefill: r.prefill.server.Server, Decode: r.decode.server.Server, Early: r.earlyReport, Inputs: r.inputs}
}

// piecesOf returns the pieces of memory that a request may come to hold.
func (c *Core) piecesNeeded(request PlaceRequest) int {
	piece := c.pool.Block
	if piece == 0 {
		piece = engine.PieceTokens
	}
	return (request.PromptTokens + request.MaxTokens + piece - 1) / piece
}

// takesWork tells whether a server may get a request, as far as that does not depend on its work.
func (c *Core) accepts(now instant, request *PlaceRequest, s rule.Server, usable bool) bool {
	return usable && s.State == rule.Live && !c.placementPaused(now, s.Server) && !slices.Contains(request.Exclude, s.Server)
}

// choosePrefill returns the prefill server at which a prompt and its transfer end first.
func (c *Core) choosePrefill(now instant, request *PlaceRequest) (best *prefillServer, bestWork work, cached int) {
	hits := c.hints.find(now, request.Prefixes)
	var bestEnd instant
	allPaused := !slices.ContainsFunc(c.prefills, func(p *prefillServer) bool { return available(now, p.server, p.health) })
	for _, p := range c.prefills {
		if !c.accepts(now, request, p.server, p.usable(now) || allPaused) || p.prompts.freeAt.Sub(now) > maxPrefillBacklog {
			continue
		}
		expected := min(hitTokens(hits, p), request.PromptTokens)
		w := p.plan(now, request.PromptTokens, expected)
		if w.linkStart.Sub(w.end) > maxLinkWait {
			continue
		}
		end := w.linkEnd
		if p.server.Zone != request.Zone {
			end = end.Add(prefillZonePenalty)
		}
		if best == nil || end.Before(bestEnd) {
			best, bestWork, bestEnd, cached = p, w, end, expected
		}
	}
	return best, bestWork, cached
}

// chooseDecode returns the decode server with the shortest step among those that have room when the
// prompt's KV cache is ready; room that is free already goes before room that is predicted. An idle
// server that never got a request is tried first: else a slow one stays in use while no other is known.
func (c *Core) chooseDecode(now instant, request *PlaceRequest, pieces int, wait time.Duration) *decodeServer {
	var best *decodeServer
	var bestFree bool
	var bestScore float64
	allPaused := !slices.ContainsFunc(c.decodes, func(d *decodeServer) bool { return available(now, d.server, d.health) })
	for _, d := range c.decodes {
		if !c.accepts(now, request, d.server, d.usable(now) || allPaused) {
			continue
		}
		c.advance(now, d)
		fits, free := d.hasRoom(now, pieces, wait)
		if !fits || c.pool.Strict && !free {
			continue
		}
		batch := len(d.streams) + d.currentForeignSlots(now)
		score := d.steps.step(batch + 1)
		if batch == 0 && !d.hasServed {
			score = 0
		}
		if d.server.Zone != request.Zone {
			score += decodeZonePenalty.Seconds()
		}
		if best == nil || (free && !bestFree) || (free == bestFree && score < bestScore) {
			best, bestFree, bestScore = d, free, score
		}
	}
	return best
}
