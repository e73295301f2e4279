package cell

import (
	"math"
	"time"
)

// Constants of the peak-sensitive moving average of latency.
const (
	ewmaDecay         = 10 * time.Second // time constant of the fall after a peak
	unansweredPenalty = time.Second      // cost of a server that has requests but has not answered yet
)

// peakEWMA scores a server by a moving average of its latency that rises at once with a peak and
// falls slowly, times its outstanding requests. It follows the PeakEWMA of the study of Envoy's
// balancers in ns-3 (rroblak/envoy-peak-ewma): two servers at random, the lower score wins.
type peakEWMA struct {
	cost    float64 // seconds
	updated time.Time
	pending int
}

// observe takes in the latency of one answer.
func (p *peakEWMA) observe(now time.Time, latency time.Duration) {
	sample := latency.Seconds()
	if sample > p.cost || p.updated.IsZero() {
		p.cost = sample
	} else {
		keep := math.Exp(-now.Sub(p.updated).Seconds() / ewmaDecay.Seconds())
		p.cost = p.cost*keep + sample*(1-keep)
	}
	p.updated = now
}

// score is the expected wait; an idle server that has not answered yet is tried first.
func (p *peakEWMA) score(now time.Time) float64 {
	cost := p.cost * math.Exp(-now.Sub(p.updated).Seconds()/ewmaDecay.Seconds())
	if p.updated.IsZero() && p.pending > 0 {
		cost = unansweredPenalty.Seconds()
	}
	return cost * float64(p.pending+1)
}

// chooseTwo compares two different servers out of n at random and returns the one with the lower score.
func betterOfTwo(n int, random func(int) int, score func(int) float64) int {
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
