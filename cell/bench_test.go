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
type bench struct {
	place    rule.PlacementPolicy
	seed     uint64
	load     float64 // share of capacity
	prefills int
	decodes  int
	length   time.Duration
	burst    string  // account that sends five times its share
	slow     string  // server that works three times as slowly
	lost     string  // decode server that is lost at half of the time
	summary  float64 // share of summaries
	prefixes int     // number of shared prefixes; 0 means none are shared

	now      time.Time
	events   eventHeap
	sequence int
	random   *rand.Rand
	core     *Core
	ticking  bool
	probe    func()
	ids      map[string]*benchRequest
	baseline []*LocalPlacer
	rules    *rule.Set
	engines  map[string]*benchEngine
	result   benchResult
}

type benchResult struct {
	sent, good, shed, failed    int
	refusedImports              int
	prefillTokens, wastedTokens int
	accounts                    map[string]*benchAccount
	worst, jain                 float64
	first                       []time.Duration
	limits                      map[string]int // why requests were not good
}

type benchAccount struct {
	weight           float64
	sent, good, done float64 // token cost
}

type benchEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []benchEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(benchEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// benchEngine is a server of either kind.
type benchEngine struct {
	free, linkFree time.Time
	slowdown       float64
	slots, pieces  int
	streams        []*benchRequest
	stepping, lost bool
	reported       int
	cache          map[string]bool
}

type benchRequest struct {
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
	computed       int
	ready, early   bool
}

// Figures of the fake engines and of the traffic, as in the profile dala of package load.
const (
	benchSlots      = 20
	benchPieces     = 60
	benchRate       = 60000.0  // prompt tokens per second
	benchLink       = 131072.0 // tokens per second
	benchStep       = 10 * time.Millisecond
	benchSlope      = time.Millisecond
	benchPromptLow  = 30
	benchPromptHigh = 20000
	benchOutputLow  = 16
	benchOutputHigh = 350
	benchKept       = 800 * time.Millisecond
	benchHop        = time.Millisecond
	benchShared     = 2048 // tokens of a shared prefix
)

var benchStart = time.Unix(0, 0)

func (b *bench) at(d time.Duration, run func()) {
	b.sequence++
	heap.Push(&b.events, benchEvent{b.now.Add(d), b.sequence, run})
}

func (b *bench) run() benchResult {
	b.now = benchStart
	b.random = rand.New(rand.NewPCG(b.seed, 7))
	b.engines = make(map[string]*benchEngine)
	b.ids = make(map[string]*benchRequest)
	b.result = benchResult{accounts: make(map[string]*benchAccount), limits: make(map[string]int)}
	text := fmt.Sprintf("- {pool: p, duty: prefill, slots: 1}   # test: t\n- {pool: d, duty: decode, slots: %d, pieces: %d}   # test: t\n", benchSlots, benchPieces)
	for n := range b.prefills + b.decodes {
		pool := "p"
		if n >= b.prefills {
			pool = "d"
		}
		name := fmt.Sprintf("%s%d", pool, n)
		text += fmt.Sprintf("- {server: %s, pool: %s, zone: %c, at: \"127.0.0.1:%d\"}   # test: t\n", name, pool, 'a'+n%3, 1000+n)
		e := &benchEngine{slowdown: 1, slots: benchSlots, pieces: benchPieces, cache: make(map[string]bool)}
		if name == b.slow {
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
		b.baseline = append(b.baseline, baseline)
	}
	b.at(0, b.poll)
	if b.probe != nil {
		b.at(0, b.probe)
	}
	for i, weight := range []float64{4, 3, 2, 1, 1} {
		b.startAccount(fmt.Sprintf("account%d", i), weight)
	}
	if b.lost != "" {
		b.at(b.length/2, func() { b.lose(b.engines[b.lost]) })
	}
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(benchEvent)
		b.now = e.at
		e.run()
	}
	b.result.judge()
	return b.result
}

// rate is the requests per second at which the busier of the two pools is full.
func (b *bench) rate() float64 {
	step := benchStep + benchSlots*benchSlope
	decode := float64(b.decodes) * benchSlots / step.Seconds() / meanOf(benchOutputLow, benchOutputHigh)
	prefill := float64(b.prefills) * benchRate / meanOf(benchPromptLow, benchPromptHigh)
	return min(decode, prefill)
}

// meanOf is the mean of a length whose logarithm is uniform.
func meanOf(low, high float64) float64 { return (high - low) / math.Log(high/low) }

func (b *bench) draw(low, high float64) int {
	return int(low * math.Pow(high/low, b.random.Float64()))
}

func (b *bench) startAccount(name string, weight float64) {
	b.result.accounts[name] = &benchAccount{weight: weight}
	rate := b.rate() * b.load * weight / 11
	if name == b.burst {
		rate *= 5
	}
	var next func()
	next = func() {
		if b.now.Sub(benchStart) > b.length {
			return
		}
		b.arrive(name)
		b.at(seconds(b.random.ExpFloat64()/rate), next)
	}
	b.at(seconds(b.random.ExpFloat64()/rate), next)
}

func (b *bench) arrive(account string) {
	r := &benchRequest{account: account, class: rule.ClassInteractive, arrived: b.now}
	r.prompt = b.draw(benchPromptLow, benchPromptHigh)
	r.output = b.draw(benchOutputLow, benchOutputHigh)
	if b.random.Float64() < b.summary {
		r.class = rule.ClassSummary
	}
	if b.prefixes > 0 {
		r.prefix = fmt.Sprint(b.random.IntN(b.prefixes))
	}
	b.result.sent++
	b.result.accounts[account].sent += r.cost()
	b.send(r)
}

func (r *benchRequest) cost() float64 { return float64(r.prompt + outputCost*r.output) }

func (b *bench) send(r *benchRequest) {
	r.attempt++
	r.key = fmt.Sprintf("%d-%d", b.sequence, r.attempt)
	r.report = Report{}
	weight := int(b.result.accounts[r.account].weight)
	if b.place == rule.PlacementCell {
		b.ids[r.key] = r
		b.core.Submit(b.clock(), PlaceRequest{
			Key: r.key, Account: r.account, Weight: weight, Class: r.class, PromptTokens: r.prompt,
			MaxTokens: r.output, Prefixes: r.prefixes(), Zone: "a", Exclude: r.exclude, Waited: b.now.Sub(r.arrived),
		})
		b.step()
		return
	}
	model := rule.Model{Prefill: "p", Decode: "d", Place: b.place}
	p, err := b.baseline[b.random.IntN(len(b.baseline))].Place(context.Background(), Request{Model: model, Exclude: r.exclude})
	if err != nil {
		b.fail(r, "no-server")
		return
	}
	r.placement = p
	b.prefillAt(r, p.Prefill.Server, p.Decode.Server)
}
