package throttle

import (
	"time"
)

// Constants of the permits for one server.
const (
	keeperBurst = 2                      // requests that a server may get at once, however few it takes a second
	burstTime   = 250 * time.Millisecond // the requests of this time come on top
	minRate     = 0.05                   // a server that takes fewer requests a second is still tried: only its answers end its limit
	maxDebt     = 2.0                    // requests sent without a permit that count against later ones
	denialTime  = time.Second            // time constant of the count of denials
	maxWait     = 2 * time.Second        // longest time after which a caller is told to return
)

// bucket grants the requests of one server at an even rate.
type bucket struct {
	burst   float64 // requests that may be sent at once, apart from those of burstTime
	level   float64 // requests that may be sent now; below 0 after control calls and requests sent without a permit
	at      time.Time
	denials float64 // requests denied lately
}

// refill adds the permits of the time since the last call.
func (b *bucket) refill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.level+rate*elapsed, b.burst+rate*burstTime.Seconds())
		b.denials *= max(0, 1-elapsed/denialTime.Seconds())
		b.at = now
	}
}

// take takes a permit for a request. If there is none, it returns the time until the next one, and the time after which
// the request has a chance if those that were denied lately come back, too.
func (b *bucket) take(now time.Time, rate float64) (ok bool, next, retryIn time.Duration) {
	b.refill(now, rate)
	if b.level >= 1 {
		b.level--
		return true, 0, 0
	}
	next = seconds((1 - b.level) / rate)
	retryIn = min(next+seconds(b.denials/rate), max(next, maxWait))
	b.denials++
	return false, next, retryIn
}

// takeControl takes a permit for a call that carries no caller's request. Such calls need no whole permit, so that requests
// do not starve them.
func (b *bucket) takeControl(now time.Time, rate float64) bool {
	b.refill(now, rate)
	if b.level < 0 {
		return false
	}
	b.level--
	return true
}

// spend records requests that were sent without a permit.
func (b *bucket) spend(now time.Time, rate, n float64) {
	b.refill(now, rate)
	b.level = max(b.level-n, -maxDebt)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
