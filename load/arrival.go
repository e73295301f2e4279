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

// Parameters of the prompts. The lengths of an account's shared prefixes are spread evenly from min (inclusive) to
// max (exclusive).
const (
	sharedPrefixesPerAccount = 40
	minSharedPrefixBytes     = 1 << 10
	maxSharedPrefixBytes     = 16 << 10
	promptBytesPerToken      = 4
)

// Arrival is one request of the workload. Its time does not depend on the responses to earlier requests.
type Arrival struct {
	At           time.Duration // sending time, since the start of the run
	Account      string
	Class        rule.Class
	ID           string // unique in the run; also the body of an order
	Prompt       string
	OutputTokens int
}

// mean returns the mean of the distribution.
func (u LogUniform) mean() float64 {
	return float64(u.Max-u.Min) / math.Log(float64(u.Max)/float64(u.Min))
}

// draw returns a random value of the distribution.
func (u LogUniform) draw(random *rand.Rand) int {
	logMin, logMax := math.Log(float64(u.Min)), math.Log(float64(u.Max))
	return int(math.Exp(logMin + random.Float64()*(logMax-logMin)))
}

// Workload describes the requests that a run sends.
type Workload struct {
	Seed                 uint64
	Duration             time.Duration
	Load                 float64 // offered load as a fraction of the profile's capacity
	SharedPrefixFraction float64 // fraction of the prompts that begin with a shared prefix
	TimeScale            float64 // factor on all times but Duration; 2 runs at half speed
	GreedyAccount        string  // client account that sends GreedyFactor times its share; empty for none
	GreedyFactor         float64
}

// drawArrivals draws the requests of a run, a Poisson process for each client account, in the order of their times.
func (p Profile) drawArrivals(workload Workload) []Arrival {
	expected := int(p.Capacity() * workload.Load * (1 + p.OrdersPerCompletion) * workload.Duration.Seconds() /
		workload.TimeScale)
	arrivals := make([]Arrival, 0, expected)
	for n, a := range p.Accounts {
		random := rand.New(rand.NewPCG(workload.Seed, uint64(n)))
		rate := p.Capacity() * workload.Load * a.Fraction / workload.TimeScale
		if a.Name == workload.GreedyAccount {
			rate *= workload.GreedyFactor
		}
		arrivals = append(arrivals, p.drawAccountArrivals(random, workload, a.Name, rate)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// drawAccountArrivals draws the requests of one client account; rate is in completions per second.
func (p Profile) drawAccountArrivals(random *rand.Rand, workload Workload, account string, rate float64) []Arrival {
	var arrivals []Arrival
	sentAt := time.Duration(0)
	for n := 0; ; n++ {
		gap := random.ExpFloat64() / (rate * (1 + p.OrdersPerCompletion))
		sentAt += time.Duration(gap * float64(time.Second))
		if sentAt >= workload.Duration {
			return arrivals
		}
		arrivals = append(arrivals, p.drawArrival(random, workload, account, n, sentAt))
	}
}

// drawArrival draws the class, prompt and output length of an account's nth request.
func (p Profile) drawArrival(random *rand.Rand, workload Workload, account string, n int, at time.Duration) Arrival {
	a := Arrival{At: at, Account: account, ID: fmt.Sprintf("%s-%d-%d", account, workload.Seed, n)}
	if random.Float64() < p.OrdersPerCompletion/(1+p.OrdersPerCompletion) {
		a.Class = rule.ClassOrder
		return a
	}
	a.Class = rule.ClassInteractive
	if random.Float64() < p.SummaryFraction {
		a.Class = rule.ClassSummary
	}
	a.OutputTokens = p.OutputTokens.draw(random)
	a.Prompt = drawPrompt(random, workload, a, p.PromptTokens.draw(random)*promptBytesPerToken)
	return a
}

// drawPrompt returns a prompt of length bytes. A fraction of the prompts begins with one of the account's shared
// prefixes.
func drawPrompt(random *rand.Rand, workload Workload, a Arrival, length int) string {
	uniquePart := a.ID + " "
	if random.Float64() >= workload.SharedPrefixFraction {
		return pad(uniquePart, length)
	}
	n := random.IntN(sharedPrefixesPerAccount)
	prefixLength := minSharedPrefixBytes + (maxSharedPrefixBytes-minSharedPrefixBytes)*n/sharedPrefixesPerAccount
	prefix := pad(fmt.Sprintf("thread %s %d ", a.Account, n), min(prefixLength, length))
	return pad(prefix+uniquePart, length)
}

// pad returns the text, truncated or extended with filler words to length bytes. It returns at least one byte.
func pad(text string, length int) string {
	if len(text) >= length {
		return text[:max(length, 1)]
	}
	return text + strings.Repeat("leaf ", (length-len(text))/len("leaf ")+1)[:length-len(text)]
}
