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
	rateMemory         = 2.0                    // seconds of work after which a sample has lost most of its weight
	maxRateRatio       = 4.0                    // bound on the trust in one sample
	rateAge            = 250 * time.Millisecond // after which a fresh sample is wanted at once
	rateRecovery       = 5 * time.Second
	trustLearning      = 0.1                    // weight of a new sample
	minSample          = 30 * time.Millisecond  // shorter samples are mostly network time
	idleMargin         = 30 * time.Millisecond  // a server this long past its predicted end has nothing to do
	keptMargin         = 400 * time.Millisecond // a result waits at most this long for its link
)

// prefillServer is the dispatcher's own account of a prefill server and its outgoing link.
type prefillServer struct {
	server   rule.Server
	health   health
	rate     rate
	linkRate rate
	prompts  lane
	link     lane
	pending  int
	last     *finish // of the newest request
	at       instant // of the newest sample
	trust    float64 // part of the expected cached tokens that was found
	prefixes uint64  // sequence of the newest cache event
}

// work is what a request costs at a prefill server.
type work struct {
	start, end, linkStart, linkEnd instant
	idle                           bool // the server had nothing to do
}

// plan returns when a prompt would be computed and transferred.
func (p *prefillServer) plan(now instant, tokens, cached int) work {
	var w work
	w.start = later(now, p.prompts.free)
	w.idle = now.Sub(p.prompts.free) > idleMargin
	w.end = w.start.Add(seconds(float64(tokens-cached) / p.rate.perSecond))
	w.linkStart = later(w.end, p.link.free)
	w.linkEnd = w.linkStart.Add(seconds(float64(tokens) / p.linkRate.perSecond))
	return w
}

func (p *prefillServer) book(r *reservation) {
	r.before, r.finish = p.last, &finish{}
	p.last = r.finish
	r.prompt = p.prompts.book(r.work.start, r.work.end)
	r.transfer = p.link.book(r.work.linkStart, r.work.linkEnd)
	p.pending++
}

// observe takes in how long a prefill and its transfer took. The prefill's own time starts when the
// one before it ended; it is not known while that one's report is still to come.
func (p *prefillServer) observe(now instant, r *reservation, report Report) {
	end := r.placed.Add(report.Prefilled.Sub(report.Placed))
	r.finish.at = end
	p.prompts.correct(r.prompt, end)
	if r.cached > 0 {
		p.trust += trustLearning * (min(float64(report.Cached)/float64(r.cached), 1) - p.trust)
	}
	if start, known := r.prefillStart(); known {
		p.rate.learn(r.promptTokens-report.Cached, end.Sub(start))
		p.at = now
	}
	if report.Imported.IsZero() {
		return
	}
	p.link.correct(r.transfer, end.Add(report.Imported.Sub(report.Prefilled)))
	if r.work.linkStart == r.work.end {
		p.linkRate.learn(r.promptTokens, report.Imported.Sub(report.Prefilled))
	}
}

// finish is the true end of a prefill; zero until it is reported.
type finish struct{ at instant }

// prefillStart returns when the server began with a prompt.
func (r *reservation) prefillStart() (instant, bool) {
	switch {
	case r.work.idle:
		return r.placed, true
	case r.before == nil || r.before.at.IsZero():
		return instant(0), false
	default:
		return later(r.placed, r.before.at), true
	}
}

// rate is tokens per second, learnt from samples that count by their length: in short ones the time on the network
// weighs too much. A short one shows only that the rate is at least so high.
type rate struct {
	perSecond float64
	tokens    float64 // of the samples, forgotten exponentially
	seconds   float64 // the same
}

// learnt tells whether there was a sample.
func (r *rate) learnt() bool { return r.seconds > 0 }

// learn moves the rate towards a sample; the first one replaces the initial rate.
func (r *rate) learn(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	seconds := took.Seconds()
	if took < minSample && float64(tokens) <= r.perSecond*seconds {
		return
	}
	if r.learnt() {
		sample := float64(tokens) / seconds
		bounded := min(max(sample, r.perSecond/maxRateRatio), r.perSecond*maxRateRatio)
		seconds = float64(tokens) / bounded
	}
	kept := math.Exp(-seconds / rateMemory)
	r.tokens = r.tokens*kept + float64(tokens)
	r.seconds = r.seconds*kept + seconds
	r.perSecond = r.tokens / r.seconds
}

// done notes that the request needs the server no more; lost work is taken off the backlog.
func (p *prefillServer) done(now instant, r *reservation, report Report) {
	p.pending--
	if report.Prefilled.IsZero() {
		p.prompts.cancel(now, r.prompt)
	}
	if report.Imported.IsZero() {
		p.link.cancel(now, r.transfer)
	}
}

// recover lets an unused server's rate return to the pool's, so that it is tried again.
func (p *prefillServer) recover(now instant, pool float64) {
	if !p.at.IsZero() && now.Sub(p.at) > rateRecovery && p.rate.perSecond < pool {
		p.rate, p.at = rate{perSecond: pool}, now
	}
}

// wantsReport tells whether the next transfer should be reported at once: the rates are not learnt,
// or old.
func (p *prefillServer) wantsReport(now instant) bool {
	return !p.rate.learnt() || !p.linkRate.learnt() || now.Sub(p.at) > rateAge
}

func (p *prefillServer) usable(now instant) bool {
	return p.server.State == rule.ServerLive && p.health.usable(now) && (!p.health.trial() || p.pending == 0)
}
