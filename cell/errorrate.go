package cell

import (
	"math"
	"time"
)

// Constants of the rate of errors of plain servers.
const (
	errorSampleWeight    = 0.3             // weight of a new request
	errorDecay           = 3 * time.Second // time constant in which errors are forgotten; the server is tried more and more often
	thirdChoiceErrorRate = 0.05            // rate from which a third server is looked at
	errorCost            = time.Second     // that a failed request costs its caller: a repeat or, of an order, the order
)

// errorRate is the part of the newest requests to a server that failed. Load that it answers: servers that fail part of
// their requests quickly while their health checks are good, and so look like the fastest.
type errorRate struct {
	share   float64
	updated time.Time
}

func (r *errorRate) observe(now time.Time, failed bool) {
	share := r.current(now) * (1 - errorSampleWeight)
	if failed {
		share += errorSampleWeight
	}
	r.share, r.updated = share, now
}

// at returns the rate with what was forgotten meanwhile.
func (r *errorRate) current(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * math.Exp(-now.Sub(r.updated).Seconds()/errorDecay.Seconds())
}
