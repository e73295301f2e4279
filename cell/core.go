package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// Limits of a cell.
const (
	retryWait     = 10 * time.Second       // longest wait of a request whose first place failed
	firstMargin   = 60 * time.Millisecond  // kept free of the first token's target for the network and the first step
	longAnswer    = 1.5                    // a prompt too long for the target may take this many times its idle time
	lookahead     = 40 * time.Millisecond  // work kept ready at a prefill server
	rebuildLimit  = time.Second            // a new dispatcher places at the latest after this time
	placeLife     = 30 * time.Second       // a place is taken back this long after its predicted end
	withdrawAfter = 2 * time.Second        // a waiting request that its instance does not ask for any more
	zonePenalty   = 2 * time.Millisecond   // for work outside the availability zone of the instance
	stepPenalty   = 200 * time.Microsecond // the same, against the length of a decode step
	shedShare     = 0.9                    // share of the time left that the predicted wait may take
	spareRoom     = 1                      // requests that must still fit beside a late one, for those that can be on time
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
	key          string
	from         string // instance that holds it; empty if engines are asked instead
	prefill      *prefillServer
	decode       *decodeServer
	pieces       int
	promptTokens int
	maxTokens    int
	ceiling      int // of maxTokens, which rises for a stream that lasts longer than expected
	cached       int
	prefixes     []string
	work         work
	before       *finish // of the request before it at the prefill server
	finish       *finish
	prompt       booking
	transfer     booking
	placed       instant
	deadline     instant // the place is taken back if no report comes
	endProgress  float64
	startBatched float64
	early        bool // a report is wanted as soon as the transfer has ended
	prefilled    bool // the prefill was reported
	held         bool // found at a server by a new dispatcher
	inputs       Inputs
}

// Targets are what a cell works towards.
type Targets struct {
	FirstToken    time.Duration // until the first token
	TokenInterval time.Duration // between tokens
	MaxWait       time.Duration // longest wait of slow work
}

// Core decides on the places of one cell. It does not wait and starts nothing: time is passed in.
type Core struct {
	prefills []*prefillServer
	decodes  []*decodeServer
	pool     rule.Pool // of the decode servers
	targets  Targets
	slope    slopeModel
	hints    hints
	queue    *fairQueue
	items    map[string]*item
	placed   map[string]*reservation
	rate     rateMeter // cost placed per second while requests wait
	lateRate rateMeter
	meters   meters
	demand   demand
	heard    map[string]instant // instances, when they were last heard
	holds    map[string]instant // servers that get no new work, until when
	backlog  bool               // requests were left waiting by the last step
	complete bool               // the instances told what they hold, or took too long
	started  instant
	swept    instant
	out      []Decision
}

// NewCore returns a core without servers.
func NewCore(now instant) *Core {
	return &Core{
		slope:   newSlopeModel(),
		hints:   newHints(),
		queue:   newFairQueue(),
		items:   make(map[string]*item),
		placed:  make(map[string]*reservation),
		meters:  newMeters(),
		heard:   make(map[string]instant),
		holds:   make(map[string]instant),
		started: now,
		swept:   now,
	}
}

// SetServers takes in the servers of the rules in force. Places at servers that are gone end with
// their reports.
func (c *Core) SetServers(now instant, prefills, decodes []rule.Server, pool rule.Pool, targets Targets) {
	c.targets, c.pool = targets, pool
	prefill, link := c.rates()
	c.prefills = mergeServers(c.prefills, prefills,
		func(p *prefillServer) *rule.Server { return &p.server },
		func() *prefillServer {
			return &prefillServer{rate: rate{perSecond: prefill}, linkRate: rate{perSecond: link}, trust: 1}
		})
	c.decodes = mergeServers(c.decodes, decodes,
		func(d *decodeServer) *rule.Server { return &d.server },
		func() *decodeServer { return &decodeServer{steps: newStepModel(&c.slope), at: now} })
	for _, d := range c.decodes {
		d.slots, d.pieces = pool.Slots, pool.Pieces
		d.limit = d.steps.limit(d.slots, c.targets.TokenInterval)
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
func (c *Core) rates() (prefill, link float64) {
	return meanRate(c.prefills, initialPrefillRate, func(p *prefillServer) rate { return p.rate }),
		meanRate(c.prefills, initialLinkRate, func(p *prefillServer) rate { return p.linkRate })
}

func meanRate(servers []*prefillServer, initial float64, of func(*prefillServer) rate) float64 {
	sum, n := 0.0, 0.0
	for _, p := range servers {
		if r := of(p); r.learnt() {
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
func (c *Core) Submit(now instant, ask PlaceRequest) {
	if r, ok := c.placed[ask.Key]; ok {
		if !r.held && r.prefill != nil {
			c.out = append(c.out, r.decision())
			return
		}
		c.Release(now, ask.Key, Report{})
	}
	if _, ok := c.items[ask.Key]; ok {
		return
	}
	if wait, ok := c.meters.take(now, ask); !ok {
		c.out = append(c.out, Decision{Key: ask.Key, Err: overRate.New("cell: account %s is over its rate", ask.Account), RetryIn: wait})
		return
	}
	i := c.newItem(now, ask)
	if retry, err := c.admit(now, i); err != nil {
		c.meters.giveBack(ask)
		c.out = append(c.out, Decision{Key: ask.Key, Err: err, RetryIn: retry})
		return
	}
	c.items[ask.Key] = i
	c.queue.push(i)
}

func (c *Core) newItem(now instant, ask PlaceRequest) *item {
	i := &item{ask: ask, account: c.queue.account(ask.Account, ask.Weight)}
	i.cost = float64(ask.PromptTokens + outputCost*ask.MaxTokens)
	i.arrived = now.Add(-ask.Waited)
	idle := c.idleTime(ask)
	budget := max(c.targets.FirstToken-firstMargin-idle, time.Duration(longAnswer*float64(idle)))
	i.useful = i.arrived.Add(budget)
	i.latest = i.arrived.Add(c.targets.MaxWait)
	retryLimit := now.Add(retryWait)
	if ask.Left > 0 {
		first := now.Add(ask.Left - idle)
		i.useful, retryLimit = min(i.useful, first), min(retryLimit, first)
		i.latest = min(i.latest, first.Add(-c.streamTime(ask.MaxTokens)))
	}
	i.limit = i.useful
	switch {
	case c.isRetry(i):
		i.limit = retryLimit
	case !i.urgent():
		i.limit = i.latest
		i.late = now.After(i.useful)
	case i.ask.Class == rule.ClassPatient && now.After(i.useful):
		c.makeLate(i)
	}
	return i
}

// idleTime is the time to compute and transfer a prompt in an idle cell.
func (c *Core) idleTime(ask PlaceRequest) time.Duration {
	prefill, link := c.rates()
	return seconds(float64(ask.PromptTokens)/prefill + float64(ask.PromptTokens)/link)
}

// streamTime is the least time to generate an answer; 0 before a step was measured.
func (c *Core) streamTime(tokens int) time.Duration {
	if c.slope.n == 0 {
		return 0
	}
	return seconds(float64(tokens) * c.slope.mean(1))
}

// Cancel takes back a request that its caller does not want any more.
func (c *Core) Cancel(now instant, key string) {
	if i, ok := c.items[key]; ok {
		delete(c.items, key)
		c.queue.remove(i)
		c.meters.giveBack(i.ask)
	}
	c.Release(now, key, Report{})
}

// RecordProgress learns from a prefill and its transfer while the place is still held.
func (c *Core) RecordProgress(now instant, key string, report Report) {
	if r, ok := c.placed[key]; ok && r.prefill != nil {
		c.learnPrefill(now, r, report)
	}
}

func (c *Core) learnPrefill(now instant, r *reservation, report Report) {
	if r.prefilled || report.Prefilled.IsZero() {
		return
	}
	r.prefilled = true
	r.prefill.health.worked(now)
	r.prefill.observe(now, r, report)
}

// Release ends a place and learns from how it went.
func (c *Core) Release(now instant, key string, report Report) {
	r, ok := c.placed[key]
	if !ok {
		return
	}
	delete(c.placed, key)
	c.advance(now, r.decode)
	r.decode.remove(r)
	if r.prefill == nil {
		return
	}
	r.prefill.done(now, r, report)
	if report.Placed.IsZero() {
		return
	}
	c.learn(now, r, report)
}

func (c *Core) learn(now instant, r *reservation, report Report) {
	d := r.decode
	c.learnPrefill(now, r, report)
	c.learnStep(now, r, report)
	switch {
	case report.Refused:
		d.refused(now, r.pieces)
	case report.BadDecode:
		d.health.callFailed(now)
	case report.Generated > 0:
		d.health.worked(now)
	case report.BadPrefill:
		r.prefill.health.callFailed(now)
	}
}

// learnStep learns from a whole stream; one that broke tells nothing of the time that steps take.
func (c *Core) learnStep(now instant, r *reservation, report Report) {
	span := now.Sub(r.placed).Seconds()
	if report.BadDecode || report.Imported.IsZero() || report.Generated == 0 || span <= 0 {
		return
	}
	if c.slope.n == 0 {
		c.demand = demand{at: now} // what was counted rested on the initial step time
	}
	d, took := r.decode, report.Ended.Sub(report.Imported)
	d.steps.observe(now, (d.batched-r.startBatched)/span, took/time.Duration(report.Generated))
	d.limit = d.steps.limit(d.slots, c.targets.TokenInterval)
	factors := make([]float64, 0, len(c.decodes))
	for _, d := range c.decodes {
		factors = append(factors, d.steps.factor)
	}
	c.slope.compare(factors)
}

// Step places what can be placed, refuses what can no longer be useful, and returns all decisions
// since the last step.
func (c *Core) Step(now instant) []Decision {
	c.rate.advance(now, c.backlog)
	c.lateRate.advance(now, c.backlog && c.queue.lateCost > 0)
	c.queue.credit = c.lead()
	c.sweep(now)
	ready := c.ready(now)
	if ready {
		for c.queue.length > 0 {
			if c.queue.pick(now, c.lead(), func(i *item) bool { return c.place(now, i) }) == nil {
				break
			}
		}
	}
	c.backlog = ready && c.queue.length > 0
	out := c.out
	c.out = nil
	return out
}

// lead is the cost by which urgent work may run ahead of its account's share.
func (c *Core) lead() float64 {
	return c.rate.perSecond() * queueClockShare / max(c.queue.weights, 1)
}

// QueueLength returns the number of requests that wait.
func (c *Core) QueueLength() int { return c.queue.length }

// place gives a request a place if there is one.
func (c *Core) place(now instant, i *item) bool {
	p, w, hit := c.choosePrefill(now, &i.ask)
	if p == nil {
		return false
	}
	pieces := c.piecesOf(i.ask)
	need := pieces
	if i.spare() {
		need += spareRoom * pieces
	}
	d := c.chooseDecode(now, &i.ask, need, w.end.Sub(now))
	if d == nil {
		return false
	}
	r := &reservation{
		key: i.ask.Key, from: i.ask.From, prefill: p, decode: d, pieces: pieces, promptTokens: i.ask.PromptTokens,
		maxTokens: i.ask.MaxTokens, ceiling: i.ask.Ceiling, cached: hit, prefixes: i.ask.Prefixes, work: w, placed: now,
	}
	p.book(r)
	c.advance(now, d)
	d.add(r, w.linkEnd.Sub(now))
	c.demand.add(now, r, seconds(float64(r.maxTokens)*d.steps.step(len(d.streams))))
	r.deadline = w.linkEnd.Add(seconds(float64(r.maxTokens) * d.steps.step(d.slots))).Add(placeLife)
	c.placed[r.key] = r
	c.hints.stored(now, p, r.prefixes)
	delete(c.items, r.key)
	if c.backlog {
		c.rate.add(i.cost)
	}
	if c.backlog && i.late {
		c.lateRate.add(i.cost)
	}
	r.early = p.wantsReport(now)
	r.inputs = Inputs{
		Waited: now.Sub(i.arrived), Prefill: w.end.Sub(now), Pieces: d.used, Total: d.pieces, Streams: len(d.streams),
	}
	c.out = append(c.out, r.decision())
	return true
}

func (r *reservation) decision() Decision {
	return Decision{Key: r.key, Prefill: r.prefill.server.Server, Decode: r.decode.server.Server, Early: r.early, Inputs: r.inputs}
}

// piecesOf returns the pieces of memory that a request may come to hold.
func (c *Core) piecesOf(ask PlaceRequest) int {
	piece := c.pool.Block
	if piece == 0 {
		piece = engine.PieceTokens
	}
	return (ask.PromptTokens + ask.MaxTokens + piece - 1) / piece
}

// takesWork tells whether a server may get a request, as far as that does not depend on its work.
func (c *Core) takesWork(now instant, ask *PlaceRequest, s rule.Server, usable bool) bool {
	return usable && s.State == rule.ServerLive && !c.onHold(now, s.Server) && !slices.Contains(ask.Exclude, s.Server)
}

// choosePrefill returns the prefill server at which a prompt and its transfer end first.
func (c *Core) choosePrefill(now instant, ask *PlaceRequest) (best *prefillServer, bestWork work, hit int) {
	hits := c.hints.find(now, ask.Prefixes)
	var bestEnd instant
	allPaused := !slices.ContainsFunc(c.prefills, func(p *prefillServer) bool { return works(now, p.server, p.health) })
	for _, p := range c.prefills {
		if !c.takesWork(now, ask, p.server, p.usable(now) || allPaused) || p.prompts.free.Sub(now) > lookahead {
			continue
		}
		found := min(cached(hits, p), ask.PromptTokens)
		w := p.plan(now, ask.PromptTokens, found)
		if w.linkStart.Sub(w.end) > keptMargin {
			continue
		}
		end := w.linkEnd
		if p.server.Zone != ask.Zone {
			end = end.Add(zonePenalty)
		}
		if best == nil || end.Before(bestEnd) {
			best, bestWork, bestEnd, hit = p, w, end, found
		}
	}
	return best, bestWork, hit
}

// chooseDecode returns the decode server with the shortest step among those that have room when the
// prompt's KV cache is ready; room that is free already goes before room that is predicted. An idle
// server that never got a request is tried first: else a slow one stays in use while no other is known.
func (c *Core) chooseDecode(now instant, ask *PlaceRequest, pieces int, wait time.Duration) *decodeServer {
	var best *decodeServer
	var bestFree bool
	var bestScore float64
	allPaused := !slices.ContainsFunc(c.decodes, func(d *decodeServer) bool { return works(now, d.server, d.health) })
	for _, d := range c.decodes {
		if !c.takesWork(now, ask, d.server, d.usable(now) || allPaused) {
			continue
		}
		c.advance(now, d)
		fits, free := d.room(now, pieces, wait)
		if !fits || c.pool.Strict && !free {
			continue
		}
		batch := len(d.streams) + d.others(now)
		score := d.steps.step(batch + 1)
		if batch == 0 && !d.tried {
			score = 0
		}
		if d.server.Zone != ask.Zone {
			score += stepPenalty.Seconds()
		}
		if best == nil || (free && !bestFree) || (free == bestFree && score < bestScore) {
			best, bestFree, bestScore = d, free, score
		}
	}
	return best
}
