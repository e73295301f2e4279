package queue

import (
	"math"
	"time"
)

const (
	rateWindow        = 3 * time.Second // time constant of the decay
	rateWarmupSeconds = 0.3             // time with waiting items before the rate is used
)

// RateMeter measures the cost placed per second over the time in which requests are waiting.
type RateMeter struct {
	cost, waitSeconds float64 // decaying sums of the cost placed and of the time with waiting requests
	at                Instant
}

// Advance counts the time since the last call, if items were waiting.
func (m *RateMeter) Advance(now Instant, waiting bool) {
	if !m.at.IsZero() && waiting {
		dt := now.Sub(m.at).Seconds()
		keep := math.Exp(-dt / rateWindow.Seconds())
		m.cost *= keep
		m.waitSeconds = m.waitSeconds*keep + dt
	}
	m.at = now
}

// Add counts a placed item.
func (m *RateMeter) Add(cost float64) { m.cost += cost }

// Scale changes the measured rate by a factor.
func (m *RateMeter) Scale(factor float64) { m.cost *= factor }

// PerSecond returns the rate, or 0 before rateWarmupSeconds with waiting requests.
func (m *RateMeter) PerSecond() float64 {
	if m.waitSeconds < rateWarmupSeconds {
		return 0
	}
	return m.cost / m.waitSeconds
}
