package cell

import (
	"math"
	"time"

	"teaselgate/rule"
)

// Constants of prefill servers.
const (
	initialPrefillRate = 20000.0                // tokens per second, before the first sample
	initialLinkRate    = 40000.0                // tokens per second, before the first sample
	rateDecaySeconds   = 2.0                    // seconds of work in which the weight of a sample decays to 1/e
	maxRateSampleRatio = 4.0                    // a sample counts at most as this factor above or below the rate
	maxRateAge         = 250 * time.Millisecond // age of the last sample from which an early report is wanted
	rateRecoveryTime   = 5 * time.Second        // age of the last sample from which a rate below the pool's is reset
	hintAccuracyWeight = 0.1                    // weight of a new sample
	minRateSample      = 30 * time.Millisecond  // shorter samples are mostly network time
	idleMargin         = 30 * time.Millisecond  // a server this long past its predicted end is idle
	maxLinkWait        = 400 * time.Millisecond // longest predicted wait of a computed prompt for the link
)

// prefillServer is the dispatcher's state of a prefill server and its outgoing link.
type prefillServer struct {
	server         rule.Server
	health         health
	rate           rateEstimate
	linkRate       rateEstimate
	prompts        schedule
	link           schedule
	pending        int         // requests with a reservation
	lastPrefillEnd *prefillEnd // end of the newest request's prefill
	lastSample     instant     // time of the newest sample of the rate
	hintAccuracy   float64     // moving average of the part of the expected cached tokens that was found
	lastCacheEvent uint64      // sequence number of the newest cache event
}

// prefillPlan holds the predicted times of a request at a prefill server.
type prefillPlan struct {
	start, end, linkStart, linkEnd instant
	idle                           bool // the server was idle
}

// plan predicts when a prompt would be computed and transferred.
func (p *prefillServer) plan(now instant, tokens, cached int) prefillPlan {
	var plan prefillPlan
	plan.start = later(now, p.prompts.freeAt)
	plan.idle = now.Sub(p.prompts.freeAt) > idleMargin
	plan.end = plan.start.Add(seconds(float64(tokens-cached) / p.rate.perSecond))
	plan.linkStart = later(plan.end, p.link.freeAt)
	plan.linkEnd = plan.linkStart.Add(seconds(float64(tokens) / p.linkRate.perSecond))
	return plan
}

// book books the planned work of a request.
func (p *prefillServer) book(r *reservation) {
	r.previousPrefill, r.prefillEnd = p.lastPrefillEnd, &prefillEnd{}
	p.lastPrefillEnd = r.prefillEnd
	r.prefillBooking = p.prompts.book(r.plan.start, r.plan.end)
	r.transferBooking = p.link.book(r.plan.linkStart, r.plan.linkEnd)
	p.pending++
}

// observe records how long a prefill and its transfer took. The prefill starts when the one before it has ended, which
// is unknown until that one is reported.
func (p *prefillServer) observe(now instant, r *reservation, report Report) {
	end := r.placedAt.Add(report.Prefilled.Sub(report.Placed))
	r.prefillEnd.at = end
	p.prompts.correct(r.prefillBooking, end)
	if r.cachedTokens > 0 {
		p.hintAccuracy += hintAccuracyWeight * (min(float64(report.Cached)/float64(r.cachedTokens), 1) - p.hintAccuracy)
	}
	if start, known := r.prefillStart(); known {
		p.rate.observe(r.promptTokens-report.Cached, end.Sub(start))
		p.lastSample = now
	}
	if report.Imported.IsZero() {
		return
	}
	p.link.correct(r.transferBooking, end.Add(report.Imported.Sub(report.Prefilled)))
	if r.plan.linkStart == r.plan.end {
		p.linkRate.observe(r.promptTokens, report.Imported.Sub(report.Prefilled))
	}
}

// prefillEnd is the actual end of a prefill; zero until it is reported.
type prefillEnd struct{ at instant }

// prefillStart returns when the server started to compute a prompt, and whether that is known.
func (r *reservation) prefillStart() (instant, bool) {
	switch {
	case r.plan.idle:
		return r.placedAt, true
	case r.previousPrefill == nil || r.previousPrefill.at.IsZero():
		return instant(0), false
	default:
		return later(r.placedAt, r.previousPrefill.at), true
	}
}

// rateEstimate estimates tokens per second from samples weighted by their length, since network time dominates the
// short ones. A short sample shows only that the rate is at least that high.
type rateEstimate struct {
	perSecond float64
	tokens    float64 // sum of the samples' tokens, decaying exponentially
	seconds   float64 // sum of the samples' durations, decaying exponentially
}

// hasSamples reports whether there was a sample.
func (r *rateEstimate) hasSamples() bool { return r.seconds > 0 }

// observe moves the rate towards a sample; the first one replaces the initial rate.
func (r *rateEstimate) observe(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	seconds := took.Seconds()
	if took < minRateSample && float64(tokens) <= r.perSecond*seconds {
		return
	}
	if r.hasSamples() {
		sample := float64(tokens) / seconds
		bounded := min(max(sample, r.perSecond/maxRateSampleRatio), r.perSecond*maxRateSampleRatio)
		seconds = float64(tokens) / bounded
	}
	kept := math.Exp(-seconds / rateDecaySeconds)
	r.tokens = r.tokens*kept + float64(tokens)
	r.seconds = r.seconds*kept + seconds
	r.perSecond = r.tokens / r.seconds
}

// finish records that a request no longer needs the server, and cancels its work that was not done.
func (p *prefillServer) finish(now instant, r *reservation, report Report) {
	p.pending--
	if report.Prefilled.IsZero() {
		p.prompts.cancel(now, r.prefillBooking)
	}
	if report.Imported.IsZero() {
		p.link.cancel(now, r.transferBooking)
	}
}

// resetStaleRate resets a low rate without recent samples to the pool's mean, so that the server is tried again.
func (p *prefillServer) resetStaleRate(now instant, poolRate float64) {
	if !p.lastSample.IsZero() && now.Sub(p.lastSample) > rateRecoveryTime && p.rate.perSecond < poolRate {
		p.rate, p.lastSample = rateEstimate{perSecond: poolRate}, now
	}
}

// wantsEarlyReport reports whether the next transfer should be reported at once, because the rates have no samples or
// only old ones.
func (p *prefillServer) wantsEarlyReport(now instant) bool {
	return !p.rate.hasSamples() || !p.linkRate.hasSamples() || now.Sub(p.lastSample) > maxRateAge
}

// usable reports whether the server may get a new request now. A server on trial gets one at a time.
func (p *prefillServer) usable(now instant) bool {
	return p.server.State == rule.ServerLive && p.health.usable(now) && (!p.health.onTrial() || p.pending == 0)
}
