package cell

import (
	"math"
	"time"
)

// Constants of the rate of errors of plain servers.
const (
	errorLearning = 0.3             // weight of a new request
	errorMemory   = 3 * time.Second // time constant in which errors are forgotten; the server is tried more and more often
	errorSuspect  = 0.05            // rate from which a third server is looked at
	errorCost     = time.Second     // that a failed request costs its caller: a repeat or, of an order, the order
)

// errorRate is the part of the newest requests to a server that failed. Load that it answers: servers that fail part of
// their requests quickly while their health checks are good, and so look like the fastest.
type errorRate struct {
	part float64
	seen time.Time
}

func (r *errorRate) observe(now time.Time, failed bool) {
	part := r.at(now) * (1 - errorLearning)
	if failed {
		part += errorLearning
	}
	r.part, r.seen = part, now
}

// at returns the rate with what was forgotten meanwhile.
func (r *errorRate) at(now time.Time) float64 {
	if r.part == 0 {
		return 0
	}
	return r.part * math.Exp(-now.Sub(r.seen).Seconds()/errorMemory.Seconds())
}
