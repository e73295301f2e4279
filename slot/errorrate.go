package slot

import (
	"math"
	"time"
)

// Constants of the error rates of plain servers.
const (
	errorSampleWeight    = 0.3             // weight of a new sample of one instance
	sharedErrorWeight    = 0.05            // weight of a new sample of all instances, of which there are many more
	errorDecay           = 3 * time.Second // time constant of the decay, by which a server regains requests
	thirdChoiceErrorRate = 0.05            // a third server is considered if the better of two has at least this rate
	errorCost            = time.Second     // cost of a failed request, which the caller must repeat or give up
)

// errorRate is a moving average of the share of requests that a server failed. By latency alone, a server that fails
// part of its requests quickly would look like the fastest, and its health checks may succeed.
type errorRate struct {
	share   float64
	updated time.Time
}

// observe records whether a request failed.
func (r *errorRate) observe(now time.Time, failed bool, weight float64) {
	share := r.current(now) * (1 - weight)
	if failed {
		share += weight
	}
	r.share, r.updated = share, now
}

// current returns the rate, decayed to now.
func (r *errorRate) current(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * math.Exp(-now.Sub(r.updated).Seconds()/errorDecay.Seconds())
}
