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
	rateDecaySeconds   = 2.0                    // seconds of work after which a sample has lost most of its weight
	maxRateSampleRatio = 4.0                    // bound on the trust in one sample
	maxRateAge         = 250 * time.Millisecond // after which a fresh sample is wanted at once
	rateRecoveryTime   = 5 * time.Second
	hintAccuracyWeight = 0.1                    // weight of a new sample
	minRateSample      = 30 * time.Millisecond  // shorter samples are mostly network time
	idleMargin         = 30 * time.Millisecond  // a server this long past its predicted end has nothing to do
	maxLinkWait        = 400 * time.Millisecond // a result waits at most this long for its link
)

// prefillServer is the dispatcher's own account of a prefill server and its outgoing link.
type prefillServer struct {
	server         rule.Server
	health         health
	rate           rateEstimate
	linkRate       rateEstimate
	prompts        schedule
	link           schedule
	pending        int
	lastPrefillEnd *prefillEnd // of the newest request
	lastSample     instant     // of the newest sample
	hintAccuracy   float64     // part of the expected cached tokens that was found
	lastCacheEvent uint64      // sequence of the newest cache event
}

// work is what a request costs at a prefill server.
type work struct {
	start, end, linkStart, linkEnd instant
	idle                           bool // the server had nothing to do
}

// plan returns when a prompt would be computed and transferred.
func (p *prefillServer) plan(now instant, tokens, cached int) work {
	var w work
	w.start = later(now, p.prompts.freeAt)
	w.idle = now.Sub(p.prompts.freeAt) > idleMargin
	w.end = w.start.Add(seconds(float64(tokens-cached) / p.rate.perSecond))
	w.linkStart = later(w.end, p.link.freeAt)
	w.linkEnd = w.linkStart.Add(seconds(float64(tokens) / p.linkRate.perSecond))
	return w
}

func (p *prefillServer) book(r *reservation) {
	r.previousPrefill, r.prefillEnd = p.lastPrefillEnd, &prefillEnd{}
	p.lastPrefillEnd = r.prefillEnd
	r.prefillBooking = p.prompts.book(r.work.start, r.work.end)
	r.transferBooking = p.link.book(r.work.linkStart, r.work.linkEnd)
	p.pending++
}

// observe takes in how long a prefill and its transfer took. The prefill's own time starts when the
// one before it ended; it is not known while that one's report is still to come.
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
	if r.work.linkStart == r.work.end {
		p.linkRate.observe(r.promptTokens, report.Imported.Sub(report.Prefilled))
	}
}

// finish is the true end of a prefill; zero until it is reported.
type prefillEnd struct{ at instant }

// prefillStart returns when the server began with a prompt.
func (r *reservation) prefillStart() (instant, bool) {
	switch {
	case r.work.idle:
		return r.placedAt, true
	case r.previousPrefill == nil || r.previousPrefill.at.IsZero():
		return instant(0), false
	default:
		return later(r.placedAt, r.previousPrefill.at), true
	}
}

// rate is tokens per second, learnt from samples that count by their length: in short ones the time on the network
// weighs too much. A short one shows only that the rate is at least so high.
type rateEstimate struct {
	perSecond float64
	tokens    float64 // of the samples, forgotten exponentially
	seconds   float64 // the same
}

// learnt tells whether there was a sample.
func (r *rateEstimate) hasSamples() bool { return r.seconds > 0 }

// learn moves the rate towards a sample; the first one replaces the initial rate.
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

// done notes that the request needs the server no more; lost work is taken off the backlog.
func (p *prefillServer) finish(now instant, r *reservation, report Report) {
	p.pending--
	if report.Prefilled.IsZero() {
		p.prompts.cancel(now, r.prefillBooking)
	}
	if report.Imported.IsZero() {
		p.link.cancel(now, r.transferBooking)
	}
}

// recover lets an unused server's rate return to the pool's, so that it is tried again.
func (p *prefillServer) resetStaleRate(now instant, pool float64) {
	if !p.lastSample.IsZero() && now.Sub(p.lastSample) > rateRecoveryTime && p.rate.perSecond < pool {
		p.rate, p.lastSample = rateEstimate{perSecond: pool}, now
	}
}

// wantsReport tells whether the next transfer should be reported at once: the rates are not learnt,
// or old.
func (p *prefillServer) wantsEarlyReport(now instant) bool {
	return !p.rate.hasSamples() || !p.linkRate.hasSamples() || now.Sub(p.lastSample) > maxRateAge
}

func (p *prefillServer) usable(now instant) bool {
	return p.server.State == rule.Live && p.health.usable(now) && (!p.health.onTrial() || p.pending == 0)
}
