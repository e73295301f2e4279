package cell

import (
	"math"
	"time"
)

// inflowWindow is the time constant of the inflow of work: shorter than a burst, longer than the pauses within one.
const inflowWindow = 2 * time.Second

// inflow measures the cost per second that requests of each rank bring.
type inflow struct {
	cost map[int]float64 // by rank, decaying exponentially
	at   instant
}

func newInflow() inflow { return inflow{cost: make(map[int]float64)} }

// add records a new request. A single rank needs no measurement: nothing is more urgent.
func (f *inflow) add(now instant, rank int, cost float64) {
	if !f.at.IsZero() {
		keep := math.Exp(-now.Sub(f.at).Seconds() / inflowWindow.Seconds())
		for r := range f.cost {
			f.cost[r] *= keep
		}
	}
	f.at = now
	f.cost[rank] += cost
}

// before returns the cost per second of requests that are more urgent than a rank.
func (f *inflow) before(rank int) float64 {
	sum := 0.0
	for r, cost := range f.cost {
		if r < rank {
			sum += cost
		}
	}
	return sum / inflowWindow.Seconds()
}
