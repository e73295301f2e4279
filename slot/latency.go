package slot

import (
	"math"
	"time"
)

// Constants of the peak-sensitive moving average of latency.
const (
	ewmaDecay         = 10 * time.Second // time constant of the decay after a peak
	unansweredPenalty = time.Second      // cost of a server with outstanding requests that has not answered yet
)

// PeakEWMA scores a server by a moving average of its latency, which rises at once with a peak and decays slowly, times
// its outstanding requests. Of two random servers the one with the lower score is chosen. It follows the PeakEWMA of
// the ns-3 study of Envoy's load balancers (rroblak/envoy-peak-ewma).
type PeakEWMA struct {
	cost    float64 // moving average of the latency, in seconds
	updated time.Time
	Pending int // outstanding requests
}

// Observe records the latency of one response.
func (p *PeakEWMA) Observe(now time.Time, latency time.Duration) {
	sample := latency.Seconds()
	if sample > p.cost || p.updated.IsZero() {
		p.cost = sample
	} else {
		keep := math.Exp(-now.Sub(p.updated).Seconds() / ewmaDecay.Seconds())
		p.cost = p.cost*keep + sample*(1-keep)
	}
	p.updated = now
}

// Score returns the expected wait in seconds. An idle server that has not answered yet scores 0 and so is tried first.
func (p *PeakEWMA) Score(now time.Time) float64 {
	cost := p.cost * math.Exp(-now.Sub(p.updated).Seconds()/ewmaDecay.Seconds())
	if p.updated.IsZero() && p.Pending > 0 {
		cost = unansweredPenalty.Seconds()
	}
	return cost * float64(p.Pending+1)
}

// BetterOfTwo returns the index with the lower score of two different random indexes below n.
func BetterOfTwo(n int, random func(int) int, score func(int) float64) int {
	if n < 2 {
		return 0
	}
	a := random(n)
	b := random(n - 1)
	if b >= a {
		b++
	}
	if score(b) < score(a) {
		return b
	}
	return a
}
