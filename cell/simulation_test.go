package cell

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselgate/rule"
)

// simulation runs a placement policy in virtual time against simulated engines without a network. Each policy sees the
// same arrivals, and the engines' service times are those of standin/engine.
type simulation struct {
	policy         rule.PlacementPolicy
	seed           uint64
	load           float64 // arrivals as a share of the capacity
	prefills       int
	decodes        int
	duration       time.Duration
	burstAccount   string  // account that sends five times its share
	slowServer     string  // server that takes three times as long
	failedServer   string  // decode server that fails halfway through
	summaryShare   float64 // share of requests of class summary
	sharedPrefixes int     // number of shared prefixes; 0 means none are shared

	now             time.Time
	events          eventHeap
	sequence        int
	random          *rand.Rand
	core            *Core
	decideScheduled bool
	probe           func() // run at the start, if set
	requests        map[string]*simulatedRequest
	localPlacers    []*LocalPlacer
	rules           *rule.Set
	engines         map[string]*simulatedEngine
	result          simulationResult
}

type simulationResult struct {
	sent, onTime, shed, failed  int
	refusedImports              int
	prefillTokens, wastedTokens int
	accounts                    map[string]*simulatedAccount
	worstShare, jainIndex       float64
	firstTokenTimes             []time.Duration
	failures                    map[string]int // number of requests by the reason why they were not on time
}

type simulatedAccount struct {
	weight                             float64
	sentCost, onTimeCost, answeredCost float64 // token cost
}

type simulationEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []simulationEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simulationEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulatedEngine is a prefill or decode server.
type simulatedEngine struct {
	freeAt, linkFreeAt time.Time
	slowdown           float64
	slots, pieces      int
	streams            []*simulatedRequest
	stepping, failed   bool
	reported           int // streams in the last load report
	cache              map[string]bool
}

type simulatedRequest struct {
	key                 string
	account             string
	class               rule.Class
	prompt, output      int
	prefix              string
	attempt             int
	exclude             []string
	arrived, firstToken time.Time
	tokens              int
	placement           *Placement
	prefill             string
	decode              string
	report              Report
	expires             time.Time
	computedTokens      int
	ready, early        bool
}

// Parameters of the simulated engines and of the traffic, as in profile dala of package load.
const (
	simSlots         = 20
	simPieces        = 60
	simPrefillRate   = 60000.0  // prompt tokens per second
	simLinkRate      = 131072.0 // tokens per second
	simStep          = 10 * time.Millisecond
	simStepPerStream = time.Millisecond
	simPromptLow     = 30
	simPromptHigh    = 20000
	simOutputLow     = 16
	simOutputHigh    = 350
	simResultTTL     = 800 * time.Millisecond
	simNetworkDelay  = time.Millisecond
	simSharedPrefix  = 2048 // tokens of a shared prefix
)

var simStart = time.Unix(0, 0)

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, simulationEvent{sim.now.Add(d), sim.sequence, run})
}

func (sim *simulation) run() simulationResult {
	sim.now = simStart
	sim.random = rand.New(rand.NewPCG(sim.seed, 7))
	sim.engines = make(map[string]*simulatedEngine)
	sim.requests = make(map[string]*simulatedRequest)
	sim.result = simulationResult{accounts: make(map[string]*simulatedAccount), failures: make(map[string]int)}
	text := fmt.Sprintf("- {pool: p, duty: prefill, slots: 1}   # test: t\n- {pool: d, duty: decode, slots: %d, pieces: %d}   # test: t\n", simSlots, simPieces)
	for n := range sim.prefills + sim.decodes {
		pool := "p"
		if n >= sim.prefills {
			pool = "d"
		}
		name := fmt.Sprintf("%s%d", pool, n)
		text += fmt.Sprintf("- {server: %s, pool: %s, zone: %c, at: \"127.0.0.1:%d\"}   # test: t\n", name, pool, 'a'+n%3, 1000+n)
		e := &simulatedEngine{slowdown: 1, slots: simSlots, pieces: simPieces, cache: make(map[string]bool)}
		if name == sim.slowServer {
			e.slowdown = 3
		}
		sim.engines[name] = e
	}
	sim.rules, _ = rule.Parse("bench.yaml", []byte(text))
	sim.core = NewCore(sim.coreTime())
	pool, _ := sim.rules.Pool("d")
	sim.core.SetServers(sim.coreTime(), sim.rules.Servers("p"), sim.rules.Servers("d"), pool, testTargets)
	for range 3 {
		placer := NewLocalPlacer(func() *rule.Set { return sim.rules })
		placer.Now = func() time.Time { return sim.now }
		placer.Random = sim.random.IntN
		sim.localPlacers = append(sim.localPlacers, placer)
	}
	sim.schedule(0, sim.pollEngines)
	if sim.probe != nil {
		sim.schedule(0, sim.probe)
	}
	for i, weight := range []float64{4, 3, 2, 1, 1} {
		sim.startAccount(fmt.Sprintf("account%d", i), weight)
	}
	if sim.failedServer != "" {
		sim.schedule(sim.duration/2, func() { sim.failServer(sim.engines[sim.failedServer]) })
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(simulationEvent)
		sim.now = e.at
		e.run()
	}
	sim.result.computeFairness()
	return sim.result
}

// capacity returns the requests per second at which the busier of the two pools is full.
func (sim *simulation) capacity() float64 {
	step := simStep + simSlots*simStepPerStream
	decode := float64(sim.decodes) * simSlots / step.Seconds() / logUniformMean(simOutputLow, simOutputHigh)
	prefill := float64(sim.prefills) * simPrefillRate / logUniformMean(simPromptLow, simPromptHigh)
	return min(decode, prefill)
}

// logUniformMean returns the mean of a log-uniform distribution.
func logUniformMean(low, high float64) float64 { return (high - low) / math.Log(high/low) }

func (sim *simulation) logUniform(low, high float64) int {
	return int(low * math.Pow(high/low, sim.random.Float64()))
}

func (sim *simulation) startAccount(name string, weight float64) {
	sim.result.accounts[name] = &simulatedAccount{weight: weight}
	rate := sim.capacity() * sim.load * weight / 11 // sum of the weights
	if name == sim.burstAccount {
		rate *= 5
	}
	var next func()
	next = func() {
		if sim.now.Sub(simStart) > sim.duration {
			return
		}
		sim.arrive(name)
		sim.schedule(seconds(sim.random.ExpFloat64()/rate), next)
	}
	sim.schedule(seconds(sim.random.ExpFloat64()/rate), next)
}

func (sim *simulation) arrive(account string) {
	r := &simulatedRequest{account: account, class: rule.ClassInteractive, arrived: sim.now}
	r.prompt = sim.logUniform(simPromptLow, simPromptHigh)
	r.output = sim.logUniform(simOutputLow, simOutputHigh)
	if sim.random.Float64() < sim.summaryShare {
		r.class = rule.ClassSummary
	}
	if sim.sharedPrefixes > 0 {
		r.prefix = fmt.Sprint(sim.random.IntN(sim.sharedPrefixes))
	}
	sim.result.sent++
	sim.result.accounts[account].sentCost += r.cost()
	sim.submit(r)
}

func (r *simulatedRequest) cost() float64 { return float64(r.prompt + outputTokenCost*r.output) }

func (sim *simulation) submit(r *simulatedRequest) {
	r.attempt++
	r.key = fmt.Sprintf("%d-%d", sim.sequence, r.attempt)
	r.report = Report{}
	weight := int(sim.result.accounts[r.account].weight)
	if sim.policy == rule.PlacementCell {
		sim.requests[r.key] = r
		sim.core.Submit(sim.coreTime(), PlaceRequest{
			Key: r.key, Account: r.account, Weight: weight, Class: r.class, PromptTokens: r.prompt,
			MaxTokens: r.output, Prefixes: r.prefixes(), Zone: "a", Exclude: r.exclude, Waited: sim.now.Sub(r.arrived),
		})
		sim.decide()
		return
	}
	model := rule.Model{Prefill: "p", Decode: "d", Place: sim.policy}
	p, err := sim.localPlacers[sim.random.IntN(len(sim.localPlacers))].Place(context.Background(), Request{Model: model, Exclude: r.exclude})
	if err != nil {
		sim.fail(r, "no-server")
		return
	}
	r.placement = p
	sim.startPrefill(r, p.Prefill.Server, p.Decode.Server)
}
