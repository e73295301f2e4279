package cell

import (
	"math"
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/promise"
	"teaselgate/queue"
	"teaselgate/rule"
)

// Timing and limits of a cell.
const (
	maxRetryWait       = 10 * time.Second       // longest wait of a request whose earlier attempt failed
	firstTokenMargin   = 60 * time.Millisecond  // part of the first-token target kept for network and first step
	longPromptFactor   = 1.5                    // a prompt may wait at least this multiple of its unloaded prefill time
	maxPrefillBacklog  = 40 * time.Millisecond  // work booked ahead at a prefill server; a busier one gets no requests
	maxRebuildTime     = time.Second            // a new dispatcher places after this time, even if holdings are unknown
	reservationGrace   = 30 * time.Second       // reservations without a report end this long after their predicted end
	abandonTimeout     = 2 * time.Second        // a request whose instance has not called for this long is cancelled
	prefillZoneShare   = 0.05                   // part of the first-token target for a prefill in the instance's availability zone
	decodeZonePenalty  = 200 * time.Microsecond // added to the predicted step outside the instance's availability zone
	fullBatchPenalty   = 0.3                    // part by which the step of a server with a full batch counts as longer
	maxWaitShare       = 0.9                    // part of the time to the deadline that the predicted wait may take
	bestEffortHeadroom = 1                      // a best-effort request needs room for this many more of its size
)

// PlaceRequest describes a request to a dispatcher.
type PlaceRequest struct {
	Key           string // request ID and attempt number
	From          string // name of the calling instance; empty if holdings are read from the engines
	Account       string
	Weight        int
	Class         rule.Class
	PromptTokens  int
	MaxTokens     int
	Ceiling       int // upper bound of the output tokens if MaxTokens is an estimate; 0 if it is not
	Prefixes      []string
	Zone          string        // availability zone of the calling instance
	Zones         []string      // availability zones whose servers may be used; empty for all
	Exclude       []string      // names of servers not to use, since they failed the request before
	Avoid         []string      // names of servers that want no requests from the caller of the dispatcher
	Waited        time.Duration // time that the request waited before this call
	Left          time.Duration // time until the caller's deadline or, with Stopping, the shutdown deadline; 0 if unknown
	Stopping      bool          // whether Left ends with the shutdown deadline of the calling instance
	LongestOutput int           // most output tokens to allow for while the instance is stopping; 0 for MaxTokens
	Pace          time.Duration // with Stopping, time per token that the instance has measured in the pool; 0 if it has not
	mustEnd       instant       // with Stopping, latest end of the response on the clock of the core; otherwise 0
	Rank          int           // 0 is the most urgent
	Ordered       bool          // whether requests to the model differ in what waiting costs their callers
	First         time.Duration // target for the time to the first event; 0 for that of the cell
	MaxWait       time.Duration // longest wait of a late request; 0 for that of the cell
	Return        string        // tells the repeat of a refused request; empty if nothing is promised
	ReturnWithin  time.Duration // longest time after which the caller repeats a refused request; 0 if unknown
	Charge        int64         // tokens to charge to the client account
	Rate          float64       // rate of the client account, tokens per second
	Burst         float64       // burst of the client account, tokens
}

// allows reports whether the request may use a server, by the server's availability zone.
func (r *PlaceRequest) allows(s rule.Server) bool {
	return len(r.Zones) == 0 || slices.Contains(r.Zones, s.Zone)
}

// Decision is the outcome of one PlaceRequest: the chosen servers, or an error with the time after which to retry.
type Decision struct {
	Key     string
	Prefill string
	Decode  string
	Early   bool // the dispatcher wants a report as soon as the transfer has ended
	Err     error
	RetryIn time.Duration
	Inputs  Inputs
}

// Inputs are the figures on which a placement was based.
type Inputs struct {
	Waited  time.Duration // time since the request arrived
	Prefill time.Duration // predicted time until the end of the prefill
	Pieces  int           // KV cache pieces reserved at the decode server, including this request's
	Total   int           // KV cache pieces that the decode server has
	Streams int           // streams at the decode server, including this request's
	Longest time.Duration // to generate the most tokens at the decode server's pace; 0 if that is not known
}

// reservation is the capacity booked for one attempt at a prefill and a decode server.
type reservation struct {
	key                string
	owner              string // instance that holds the reservation; empty if holdings are read from the engines
	prefill            *prefillServer
	decode             *decodeServer
	pieces             int // KV cache pieces reserved at the decode server
	promptTokens       int
	maxTokens          int
	ceiling            int // upper bound of maxTokens, which grows while the stream outlasts its estimate
	cachedTokens       int // prompt tokens expected in the prefill server's cache
	prefixes           []string
	plan               prefillPlan
	previousPrefill    *prefillEnd // end of the prefill before this one at the server
	prefillEnd         *prefillEnd
	prefillBooking     booking
	transferBooking    booking
	placedAt           instant
	deadline           instant // the reservation is released at this time if no report came
	endProgress        float64 // decodeServer.progress at the predicted end
	startStreamSeconds float64 // decodeServer.streamSeconds at the placement
	earlyReport        bool    // a report is wanted as soon as the transfer has ended
	prefillRecorded    bool    // the report of the prefill was recorded
	discovered         bool    // found in a server's list of requests, not placed by this dispatcher
	inputs             Inputs
}

// Targets are the latency targets of a cell.
type Targets struct {
	FirstToken    time.Duration // time to the first token
	TokenInterval time.Duration // time between tokens
	MaxWait       time.Duration // longest wait of background requests
}

// Core is the placement logic of one cell. It does no I/O, starts no goroutines and reads no clock: its callers pass in
// the time and serialize the calls.
type Core struct {
	prefills             []*prefillServer
	decodes              []*decodeServer
	pool                 rule.Pool // pool of the decode servers
	targets              Targets
	poolStep             poolStepModel
	hints                hints
	queue                *queue.Fair
	waiting              map[string]*waitingRequest
	delayed              map[string]*delayedRequest // requests that are not queued yet, by key
	levelsDue            instant                    // time until which new requests wait for the accounts' levels
	reservations         map[string]*reservation
	costRate             queue.RateMeter // cost placed per second while requests are waiting
	lateCostRate         queue.RateMeter // cost of late requests placed per second while late requests are waiting
	inflow               inflow
	promises             promise.Ledger // to callers that were refused
	limiter              rateLimiter
	demand               demand
	lastReachable        map[string]instant     // time when each instance was last reachable, by name
	placementPausedUntil map[string]instant     // end of the pause set by PausePlacement, by server name
	backlog              bool                   // the last Decide left requests waiting
	holdingsKnown        bool                   // all instances have sent their holdings or failed to
	canRequest           func(rule.Server) bool // reports whether a server takes a request now, by the limit that it names
	countRequest         func(rule.Server)      // called for each request that is placed on a server
	started              instant
	lastSweep            instant
	decisions            []Decision
}

// NewCore returns a core without servers.
func NewCore(now instant) *Core {
	return &Core{
		poolStep:             newPoolStepModel(),
		hints:                newHints(),
		queue:                queue.NewFair(),
		waiting:              make(map[string]*waitingRequest),
		delayed:              make(map[string]*delayedRequest),
		reservations:         make(map[string]*reservation),
		inflow:               newInflow(),
		limiter:              newRateLimiter(),
		lastReachable:        make(map[string]instant),
		placementPausedUntil: make(map[string]instant),
		canRequest:           func(rule.Server) bool { return true },
		countRequest:         func(rule.Server) {},
		started:              now,
		lastSweep:            now,
	}
}

// SetServers replaces the servers by those of the rules in force. Reservations at removed servers end with their
// reports.
func (c *Core) SetServers(now instant, prefills, decodes []rule.Server, pool rule.Pool, targets Targets) {
	c.targets, c.pool = targets, pool
	prefill, link := c.meanRates()
	before := c.countInUse()
	c.prefills = mergeServers(c.prefills, prefills,
		func(p *prefillServer) *rule.Server { return &p.server },
		func() *prefillServer {
			return &prefillServer{
				rate: rateEstimate{perSecond: prefill}, linkRate: rateEstimate{perSecond: link}, hintAccuracy: 1,
			}
		},
		func(p *prefillServer) { p.rate, p.lastSample = rateEstimate{perSecond: prefill}, 0 })
	c.decodes = mergeServers(c.decodes, decodes,
		func(d *decodeServer) *rule.Server { return &d.server },
		func() *decodeServer { return &decodeServer{steps: newServerStepModel(&c.poolStep), advancedAt: now} },
		func(d *decodeServer) { d.steps = newServerStepModel(&c.poolStep) })
	for _, d := range c.decodes {
		d.slots, d.pieces = pool.Slots, pool.Pieces
		d.batchLimit = d.steps.limit(d.slots, c.targets.TokenInterval)
	}
	c.adaptToEvacuations(before)
}

// hasServersFor reports whether both stages may have a server for a request: not if all that it may use are evacuated, or if
// there is none in its availability zones. Servers that are leaving or paused may soon be followed by others.
func (c *Core) hasServersFor(request PlaceRequest) bool {
	mayServe := func(s rule.Server) bool { return request.allows(s) && s.State != rule.ServerEvacuated }
	return slices.ContainsFunc(c.prefills, func(p *prefillServer) bool { return mayServe(p.server) }) &&
		slices.ContainsFunc(c.decodes, func(d *decodeServer) bool { return mayServe(d.server) })
}

// decodeCounts are the numbers of decode servers that are evacuated, and of the others.
type decodeCounts struct{ evacuated, inUse int }

func (c *Core) countInUse() decodeCounts {
	var n decodeCounts
	for _, d := range c.decodes {
		if d.server.State == rule.ServerEvacuated {
			n.evacuated++
		} else {
			n.inUse++
		}
	}
	return n
}

// adaptToEvacuations scales the measured rates of placements when servers are evacuated or come back, so that waits are
// predicted for the servers in use now. Otherwise a queue that the smaller fleet can't serve would build up first.
func (c *Core) adaptToEvacuations(before decodeCounts) {
	after := c.countInUse()
	if after.evacuated == before.evacuated || before.inUse == 0 || after.inUse == 0 {
		return
	}
	factor := float64(after.inUse) / float64(before.inUse)
	c.costRate.Scale(factor)
	c.lateCostRate.Scale(factor)
}

// mergeServers returns the states of servers. Servers whose address is unchanged keep theirs, others get a new one. What was
// learned about the speed of a server that has become cold since is forgotten.
func mergeServers[T any](
	old []*T, servers []rule.Server, field func(*T) *rule.Server, create func() *T, forgetSpeed func(*T),
) []*T {
	known := make(map[string]*T, len(old))
	for _, s := range old {
		known[field(s).Server] = s
	}
	out := make([]*T, 0, len(servers))
	for _, server := range servers {
		s, ok := known[server.Server]
		if !ok || field(s).At != server.At {
			s = create()
		} else if field(s).ColdPeriod != server.ColdPeriod {
			forgetSpeed(s)
		}
		*field(s) = server
		out = append(out, s)
	}
	return out
}

// meanRates returns the mean rates of the prefill servers and of their links, over those with samples. Without samples
// it returns the initial rates.
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

// Submit charges a request to its account and queues it. Submitting a waiting request again has no effect unless its instance
// has begun to stop meanwhile, and submitting a placed one repeats its decision. A reservation under the same key that this
// core did not place is released first.
func (c *Core) Submit(now instant, request PlaceRequest) {
	if r, ok := c.reservations[request.Key]; ok {
		if !r.discovered && r.prefill != nil {
			c.decisions = append(c.decisions, r.decision())
			return
		}
		c.Release(now, request.Key, Report{})
	}
	if w, ok := c.waiting[request.Key]; ok {
		c.shorten(now, w, request)
		return
	}
	if d, ok := c.delayed[request.Key]; ok {
		d.shorten(now, request)
		return
	}
	if now.Before(c.levelsDue) {
		c.delayed[request.Key] = &delayedRequest{request: request, submitted: now, due: c.levelsDue}
		return
	}
	c.chargeAndQueue(now, request)
}

// Cancel removes a waiting request and refunds its charge, or releases the reservation of a placed one.
func (c *Core) Cancel(now instant, key string) {
	c.cancelDelayed(key)
	if w, ok := c.waiting[key]; ok {
		delete(c.waiting, key)
		c.queue.Remove(&w.Item)
		c.limiter.refund(w.request)
	}
	c.Release(now, key, Report{})
}

// Decide places the requests that fit, rejects those that can no longer be answered in time, and returns all decisions
// since the last call.
func (c *Core) Decide(now instant) []Decision {
	c.costRate.Advance(now, c.backlog)
	c.lateCostRate.Advance(now, c.backlog && c.queue.LateCost(math.MaxInt) > 0)
	c.queue.Lead = c.urgentLead()
	c.queueDue(now)
	c.sweep(now)
	ready := c.readyToPlace(now)
	if ready {
		for c.queue.Len() > 0 {
			c.queue.Lead = c.urgentLead()
			if c.queue.Pick(now, func(i *queue.Item) bool { return c.tryPlace(now, c.waiting[i.Key]) }) == nil {
				break
			}
		}
	}
	c.backlog = ready && c.queue.Len() > 0
	out := c.decisions
	c.decisions = nil
	return out
}

// QueueLength returns the number of waiting requests.
func (c *Core) QueueLength() int { return c.queue.Len() + len(c.delayed) }

// tryPlace places a request if there is room, and reports whether it did.
func (c *Core) tryPlace(now instant, w *waitingRequest) bool {
	choice := c.choosePrefill(now, &w.request)
	p, plan := choice.server, choice.plan
	if p == nil {
		return false
	}
	pieces := c.piecesNeeded(w.request)
	d := c.chooseDecode(now, &w.request, c.piecesReserved(w), plan.end.Sub(now))
	if d == nil {
		return false
	}
	r := &reservation{
		key: w.request.Key, owner: w.request.From, prefill: p, decode: d, pieces: pieces,
		promptTokens: w.request.PromptTokens, maxTokens: w.request.MaxTokens, ceiling: w.request.Ceiling,
		cachedTokens: choice.cached, prefixes: w.request.Prefixes, plan: plan, placedAt: now,
	}
	longest, _ := d.longestStream(now, &w.request)
	c.countRequest(p.server)
	c.countRequest(d.server)
	p.book(r)
	c.advance(now, d)
	d.add(r, plan.linkEnd.Sub(now))
	c.demand.add(now, r, seconds(float64(r.maxTokens)*d.steps.step(len(d.streams))))
	r.deadline = plan.linkEnd.Add(seconds(float64(r.maxTokens) * d.steps.step(d.slots))).Add(reservationGrace)
	c.reservations[r.key] = r
	c.hints.recordStored(now, p, r.prefixes)
	delete(c.waiting, r.key)
	if c.backlog {
		c.costRate.Add(w.Cost)
	}
	if c.backlog && w.Late {
		c.lateCostRate.Add(w.Cost)
	}
	r.earlyReport = p.wantsEarlyReport(now)
	r.inputs = Inputs{
		Waited: now.Sub(w.arrived), Prefill: plan.end.Sub(now), Pieces: d.usedPieces, Total: d.pieces, Streams: len(d.streams),
		Longest: longest,
	}
	c.decisions = append(c.decisions, r.decision())
	return true
}

func (r *reservation) decision() Decision {
	return Decision{
		Key: r.key, Prefill: r.prefill.server.Server, Decode: r.decode.server.Server, Early: r.earlyReport, Inputs: r.inputs,
	}
}

// piecesReserved returns the number of KV cache pieces that must be free for a request: a best-effort one leaves some to others.
func (c *Core) piecesReserved(w *waitingRequest) int {
	pieces := c.piecesNeeded(w.request)
	if w.BestEffort() {
		pieces += bestEffortHeadroom * pieces
	}
	return pieces
}

// piecesNeeded returns the number of KV cache pieces for the prompt and MaxTokens output tokens of a request.
func (c *Core) piecesNeeded(request PlaceRequest) int {
	piece := c.pool.Block
	if piece == 0 {
		piece = engine.PieceTokens
	}
	return (request.PromptTokens + request.MaxTokens + piece - 1) / piece
}
