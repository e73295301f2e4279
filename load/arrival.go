package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"teaselgate/rule"
)

// Shape of prompts that share a prefix.
const (
	sharedPrefixes    = 40 // per client account
	sharedPrefixLow   = 1 << 10
	sharedPrefixHigh  = 16 << 10 // bytes
	promptBytesPerTok = 4
)

// Arrival is one call that a caller makes, whatever became of earlier ones.
type Arrival struct {
	At      time.Duration // after the start of the run
	Account string
	Class   rule.Class
	ID      string
	Prompt  string
	Output  int // tokens
}

// mean returns the mean of a range whose logarithm is uniform.
func (r Range) mean() float64 {
	return float64(r.High-r.Low) / math.Log(float64(r.High)/float64(r.Low))
}

func (r Range) draw(random *rand.Rand) int {
	low, high := math.Log(float64(r.Low)), math.Log(float64(r.High))
	return int(math.Exp(low + random.Float64()*(high-low)))
}

// Workload is what a run sends.
type Workload struct {
	Seed      uint64
	Duration  time.Duration
	Load      float64 // part of the profile's capacity
	Prefix    float64 // part of the prompts that share a prefix
	TimeScale float64 // stretches all times
	Greedy    string  // client account that sends a multiple of its part
	Greed     float64 // that multiple
}

// arrivals draws the calls of a run: a Poisson process for each client account.
func (p Profile) arrivals(plan Workload) []Arrival {
	expected := int(p.Capacity() * plan.Load * (1 + p.Orders) * plan.Duration.Seconds() / plan.TimeScale)
	out := make([]Arrival, 0, expected)
	for n, a := range p.Accounts {
		random := rand.New(rand.NewPCG(plan.Seed, uint64(n)))
		rate := p.Capacity() * plan.Load * a.Part / plan.TimeScale
		if a.Name == plan.Greedy {
			rate *= plan.Greed
		}
		out = append(out, p.accountArrivals(random, plan, a.Name, rate)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func (p Profile) accountArrivals(random *rand.Rand, plan Workload, account string, rate float64) []Arrival {
	var out []Arrival
	at := time.Duration(0)
	for n := 0; ; n++ {
		gap := random.ExpFloat64() / (rate * (1 + p.Orders))
		at += time.Duration(gap * float64(time.Second))
		if at >= plan.Duration {
			return out
		}
		out = append(out, p.draw(random, plan, account, n, at))
	}
}

func (p Profile) draw(random *rand.Rand, plan Workload, account string, n int, at time.Duration) Arrival {
	a := Arrival{At: at, Account: account, ID: fmt.Sprintf("%s-%d-%d", account, plan.Seed, n)}
	if random.Float64() < p.Orders/(1+p.Orders) {
		a.Class = rule.ClassOrder
		return a
	}
	a.Class = rule.ClassInteractive
	if random.Float64() < p.Summaries {
		a.Class = rule.ClassSummary
	}
	a.Output = p.Output.draw(random)
	a.Prompt = drawPrompt(random, plan, a, p.Prompt.draw(random)*promptBytesPerTok)
	return a
}

// drawPrompt makes a prompt of a length in bytes; some begin with one of the account's shared prefixes.
func drawPrompt(random *rand.Rand, plan Workload, a Arrival, length int) string {
	own := a.ID + " "
	if random.Float64() >= plan.Prefix {
		return pad(own, length)
	}
	n := random.IntN(sharedPrefixes)
	prefixLength := sharedPrefixLow + (sharedPrefixHigh-sharedPrefixLow)*n/sharedPrefixes
	prefix := pad(fmt.Sprintf("thread %s %d ", a.Account, n), min(prefixLength, length))
	return pad(prefix+own, length)
}

func pad(text string, length int) string {
	if len(text) >= length {
		return text[:max(length, 1)]
	}
	return text + strings.Repeat("leaf ", (length-len(text))/len("leaf ")+1)[:length-len(text)]
}
