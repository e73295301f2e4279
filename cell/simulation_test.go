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

// bench runs a placement policy against a fake of the engines' service times in virtual time. It has
// no network: each policy sees the same arrivals, and the engines' figures are those of standin/engine.
type simulation struct {
	place          rule.Place
	seed           uint64
	load           float64 // share of capacity
	prefills       int
	decodes        int
	duration       time.Duration
	burstAccount   string  // account that sends five times its share
	slowServer     string  // server that works three times as slowly
	lostServer     string  // decode server that is lost at half of the time
	summaryShare   float64 // share of summaries
	sharedPrefixes int     // number of shared prefixes; 0 means none are shared

	now          time.Time
	events       eventHeap
	sequence     int
	random       *rand.Rand
	core         *Core
	ticking      bool
	probe        func()
	requests     map[string]*simulatedRequest
	localPlacers []*LocalPlacer
	rules        *rule.Set
	engines      map[string]*simulatedEngine
	result       simulationResult
}

type simulationResult struct {
	sent, onTime, shed, failed  int
	refusedImports              int
	prefillTokens, wastedTokens int
	accounts                    map[string]*simulatedAccount
	worstShare, jainIndex       float64
	firstTokenTimes             []time.Duration
	failures                    map[string]int // why requests were not good
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

// benchEngine is a server of either kind.
type simulatedEngine struct {
	free, linkFree time.Time
	slowdown       float64
	slots, pieces  int
	streams        []*simulatedRequest
	stepping, lost bool
	reported       int
	cache          map[string]bool
}

type simulatedRequest struct {
	key            string
	account        string
	class          rule.Class
	prompt, output int
	prefix         string
	attempt        int
	exclude        []string
	arrived, first time.Time
	tokens         int
	placement      *Placement
	prefill        string
	decode         string
	report         Report
	expires        time.Time
	computedTokens int
	ready, early   bool
}

// Figures of the fake engines and of the traffic, as in the profile dala of package load.
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

func (b *simulation) schedule(d time.Duration, run func()) {
	b.sequence++
	heap.Push(&b.events, simulationEvent{b.now.Add(d), b.sequence, run})
}

func (b *simulation) run() simulationResult {
	b.now = simStart
	b.random = rand.New(rand.NewPCG(b.seed, 7))
	b.engines = make(map[string]*simulatedEngine)
	b.requests = make(map[string]*simulatedRequest)
	b.result = simulationResult{accounts: make(map[string]*simulatedAccount), failures: make(map[string]int)}
	text := fmt.Sprintf("- {pool: p, duty: prefill, slots: 1}   # test: t\n- {pool: d, duty: decode, slots: %d, pieces: %d}   # test: t\n", simSlots, simPieces)
	for n := range b.prefills + b.decodes {
		pool := "p"
		if n >= b.prefills {
			pool = "d"
		}
		name := fmt.Sprintf("%s%d", pool, n)
		text += fmt.Sprintf("- {server: %s, pool: %s, zone: %c, at: \"127.0.0.1:%d\"}   # test: t\n", name, pool, 'a'+n%3, 1000+n)
		e := &simulatedEngine{slowdown: 1, slots: simSlots, pieces: simPieces, cache: make(map[string]bool)}
		if name == b.slowServer {
			e.slowdown = 3
		}
		b.engines[name] = e
	}
	b.rules, _ = rule.Parse("bench.yaml", []byte(text))
	b.core = NewCore(b.clock())
	pool, _ := b.rules.Pool("d")
	b.core.SetServers(b.clock(), b.rules.Servers("p"), b.rules.Servers("d"), pool, testTargets)
	for range 3 {
		baseline := NewLocalPlacer(func() *rule.Set { return b.rules })
		baseline.Now = func() time.Time { return b.now }
		baseline.Random = b.random.IntN
		b.localPlacers = append(b.localPlacers, baseline)
	}
	b.schedule(0, b.pollEngines)
	if b.probe != nil {
		b.schedule(0, b.probe)
	}
	for i, weight := range []float64{4, 3, 2, 1, 1} {
		b.startAccount(fmt.Sprintf("account%d", i), weight)
	}
	if b.lostServer != "" {
		b.schedule(b.duration/2, func() { b.loseServer(b.engines[b.lostServer]) })
	}
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(simulationEvent)
		b.now = e.at
		e.run()
	}
	b.result.computeFairness()
	return b.result
}

// rate is the requests per second at which the busier of the two pools is full.
func (b *simulation) capacity() float64 {
	step := simStep + simSlots*simStepPerStream
	decode := float64(b.decodes) * simSlots / step.Seconds() / logUniformMean(simOutputLow, simOutputHigh)
	prefill := float64(b.prefills) * simPrefillRate / logUniformMean(simPromptLow, simPromptHigh)
	return min(decode, prefill)
}

// meanOf is the mean of a length whose logarithm is uniform.
func logUniformMean(low, high float64) float64 { return (high - low) / math.Log(high/low) }

func (b *simulation) logUniform(low, high float64) int {
	return int(low * math.Pow(high/low, b.random.Float64()))
}

func (b *simulation) startAccount(name string, weight float64) {
	b.result.accounts[name] = &simulatedAccount{weight: weight}
	rate := b.capacity() * b.load * weight / 11
	if name == b.burstAccount {
		rate *= 5
	}
	var next func()
	next = func() {
		if b.now.Sub(simStart) > b.duration {
			return
		}
		b.arrive(name)
		b.schedule(seconds(b.random.ExpFloat64()/rate), next)
	}
	b.schedule(seconds(b.random.ExpFloat64()/rate), next)
}

func (b *simulation) arrive(account string) {
	r := &simulatedRequest{account: account, class: rule.ClassInteractive, arrived: b.now}
	r.prompt = b.logUniform(simPromptLow, simPromptHigh)
	r.output = b.logUniform(simOutputLow, simOutputHigh)
	if b.random.Float64() < b.summaryShare {
		r.class = rule.ClassSummary
	}
	if b.sharedPrefixes > 0 {
		r.prefix = fmt.Sprint(b.random.IntN(b.sharedPrefixes))
	}
	b.result.sent++
	b.result.accounts[account].sentCost += r.cost()
	b.submit(r)
}

func (r *simulatedRequest) cost() float64 { return float64(r.prompt + outputTokenCost*r.output) }

func (b *simulation) submit(r *simulatedRequest) {
	r.attempt++
	r.key = fmt.Sprintf("%d-%d", b.sequence, r.attempt)
	r.report = Report{}
	weight := int(b.result.accounts[r.account].weight)
	if b.place == rule.PlaceCell {
		b.requests[r.key] = r
		b.core.Submit(b.clock(), PlaceRequest{
			Key: r.key, Account: r.account, Weight: weight, Class: r.class, PromptTokens: r.prompt,
			MaxTokens: r.output, Prefixes: r.prefixes(), Zone: "a", Exclude: r.exclude, Waited: b.now.Sub(r.arrived),
		})
		b.step()
		return
	}
	model := rule.Model{Prefill: "p", Decode: "d", Place: b.place}
	p, err := b.localPlacers[b.random.IntN(len(b.localPlacers))].Place(context.Background(), Request{Model: model, Exclude: r.exclude})
	if err != nil {
		b.fail(r, "no-server")
		return
	}
	r.placement = p
	b.startPrefill(r, p.Prefill.Server, p.Decode.Server)
}
