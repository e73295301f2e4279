package cell

import (
	"fmt"
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// decide calls the core and carries out its decisions. While requests are waiting it schedules the next call.
func (sim *simulation) decide() {
	const tick = 5 * time.Millisecond
	for _, d := range sim.core.Decide(sim.coreTime()) {
		r := sim.requests[d.Key]
		delete(sim.requests, d.Key)
		if d.Err != nil {
			sim.fail(r, "shed")
			continue
		}
		r.report.Placed, r.early = sim.now, d.Early
		sim.startPrefill(r, d.Prefill, d.Decode)
	}
	if sim.core.QueueLength() > 0 && !sim.decideScheduled {
		sim.decideScheduled = true
		sim.schedule(tick, func() {
			sim.decideScheduled = false
			sim.decide()
		})
	}
}

// pollEngines passes the load reports of the decode servers to the core.
func (sim *simulation) pollEngines() {
	const interval = 500 * time.Millisecond
	for _, s := range sim.rules.Servers("d") {
		e := sim.engines[s.Server]
		if e.failed {
			sim.core.RecordPollFailure(sim.coreTime(), s.Server)
			continue
		}
		sim.core.RecordLoad(sim.coreTime(), s.Server, engine.LoadReport{Slots: e.reported})
		sim.core.RecordHeld(sim.coreTime(), s.Server, nil)
		e.reported = len(e.streams)
	}
	if sim.now.Before(simStart.Add(sim.duration)) {
		sim.schedule(interval, sim.pollEngines)
	}
}

func (sim *simulation) startPrefill(r *simulatedRequest, prefill, decode string) {
	r.prefill, r.decode = prefill, decode
	e := sim.engines[prefill]
	tokens := r.prompt
	if r.prefix != "" {
		for n, prefix := range r.prefixes() {
			if e.cache[prefix] {
				r.report.Cached = engine.PrefixTokens(n)
			}
			e.cache[prefix] = true
		}
		tokens -= r.report.Cached
	}
	e.freeAt = laterTime(sim.now.Add(simNetworkDelay), e.freeAt).Add(seconds(float64(tokens) / simPrefillRate * e.slowdown))
	sim.result.prefillTokens += tokens
	r.computedTokens = tokens
	sim.schedule(e.freeAt.Sub(sim.now), func() {
		r.report.Prefilled = sim.now
		r.expires = sim.now.Add(simResultTTL)
		sim.startImport(r)
	})
}

// prefixes returns the prefixes of a prompt that starts with a shared prefix, else none.
func (r *simulatedRequest) prefixes() []string {
	if r.prefix == "" {
		return nil
	}
	var out []string
	for n := 0; engine.PrefixTokens(n) <= min(simSharedPrefix, r.prompt); n++ {
		out = append(out, fmt.Sprintf("%s-%d", r.prefix, n))
	}
	return out
}

// startImport occupies a slot at the decode server. With the cell policy it repeats a refused import for a while, as
// Placement.RunTransfer does.
func (sim *simulation) startImport(r *simulatedRequest) {
	const interval, timeout = 20 * time.Millisecond, 500 * time.Millisecond
	e := sim.engines[r.decode]
	used := 0
	for _, s := range e.streams {
		used += s.pieces()
	}
	switch {
	case e.failed:
		r.report.BadDecode = true
		sim.retry(r)
		return
	case len(e.streams) >= e.slots || used+r.pieces() > e.pieces:
		sim.result.refusedImports++
		if sim.policy == rule.PlacementCell && sim.now.Add(interval).Before(r.expires) && sim.now.Sub(r.report.Prefilled) < timeout {
			sim.schedule(interval, func() { sim.startImport(r) })
			return
		}
		r.report.Refused = true
		sim.retry(r)
		return
	}
	e.streams = append(e.streams, r)
	p := sim.engines[r.prefill]
	p.linkFreeAt = laterTime(sim.now, p.linkFreeAt).Add(seconds(float64(r.prompt) / simLinkRate * p.slowdown))
	sim.schedule(p.linkFreeAt.Sub(sim.now), func() {
		r.report.Imported = sim.now
		r.ready = true
		if r.early {
			sim.core.RecordProgress(sim.coreTime(), r.key, r.report)
		}
		sim.decodeStep(e)
	})
}

func (r *simulatedRequest) pieces() int {
	return (r.prompt + r.output + engine.PieceTokens - 1) / engine.PieceTokens
}

// decodeStep generates a token for each ready stream of an engine after the time of one step.
func (sim *simulation) decodeStep(e *simulatedEngine) {
	batch := 0
	for _, r := range e.streams {
		if r.ready {
			batch++
		}
	}
	if e.stepping || batch == 0 {
		return
	}
	e.stepping = true
	step := time.Duration(float64(simStep+time.Duration(batch)*simStepPerStream) * e.slowdown)
	streams := slices.Clone(e.streams)
	sim.schedule(step, func() {
		e.stepping = false
		for _, r := range streams {
			if r.ready && slices.Contains(e.streams, r) {
				sim.emitToken(e, r)
			}
		}
		sim.decodeStep(e)
	})
}

func (sim *simulation) emitToken(e *simulatedEngine, r *simulatedRequest) {
	r.tokens++
	r.report.Generated++
	if r.tokens == 1 {
		r.firstToken = sim.now.Add(simNetworkDelay)
	}
	if r.tokens < r.output {
		return
	}
	e.streams = slices.DeleteFunc(e.streams, func(s *simulatedRequest) bool { return s == r })
	sim.recordResponse(r)
	sim.release(r)
}

// recordResponse checks a complete response against both targets.
func (sim *simulation) recordResponse(r *simulatedRequest) {
	first := r.firstToken.Sub(r.arrived)
	tokenInterval := sim.now.Sub(r.firstToken) / time.Duration(max(r.output-1, 1))
	a := sim.result.accounts[r.account]
	a.answeredCost += r.cost()
	sim.result.firstTokenTimes = append(sim.result.firstTokenTimes, first)
	switch {
	case first > rule.DefaultFirstTokenTarget:
		sim.result.failures["first token late"]++
	case tokenInterval > rule.DefaultTokenIntervalTarget:
		sim.result.failures["tokens too far apart"]++
	default:
		sim.result.onTime++
		a.onTimeCost += r.cost()
	}
}

func (sim *simulation) release(r *simulatedRequest) {
	r.report.Ended = sim.now
	if r.placement != nil {
		r.placement.Release(r.report)
		return
	}
	sim.core.Release(sim.coreTime(), r.key, r.report)
	sim.decide()
}

// retry counts the prefill as wasted and tries the request again without the failed decode server, for up to three
// attempts.
func (sim *simulation) retry(r *simulatedRequest) {
	sim.result.wastedTokens += r.computedTokens
	r.exclude = append(r.exclude, r.decode)
	sim.release(r)
	if r.attempt == 3 || r.tokens > 0 {
		sim.fail(r, "engine-failed")
		return
	}
	sim.submit(r)
}

func (sim *simulation) fail(r *simulatedRequest, reason string) {
	sim.result.failures[reason]++
	if reason == "shed" {
		sim.result.shed++
		return
	}
	sim.result.failed++
}

// failServer fails a decode server with all its streams.
func (sim *simulation) failServer(e *simulatedEngine) {
	e.failed = true
	streams := e.streams
	e.streams = nil
	for _, r := range streams {
		r.report.BadDecode = true
		r.ready = false
		if !r.report.Imported.IsZero() {
			sim.retry(r)
		}
	}
}

// computeFairness computes the smallest ratio of an account's goodput to its fair share, which is the max-min share by
// weight and demand, and Jain's index of these ratios.
func (r *simulationResult) computeFairness() {
	total := 0.0
	for _, a := range r.accounts {
		total += a.onTimeCost
	}
	shares := fairShares(r.accounts, total)
	sum, squares := 0.0, 0.0
	r.worstShare = 1e9
	for name, a := range r.accounts {
		ratio := min(a.onTimeCost/shares[name], 1)
		r.worstShare = min(r.worstShare, ratio)
		sum += ratio
		squares += ratio * ratio
	}
	r.jainIndex = sum * sum / (float64(len(r.accounts)) * squares)
}

// fairShares divides a total by weight, but gives no account more than it sent.
func fairShares(accounts map[string]*simulatedAccount, total float64) map[string]float64 {
	out := make(map[string]float64)
	for len(out) < len(accounts) {
		weights := 0.0
		for name, a := range accounts {
			if _, done := out[name]; !done {
				weights += a.weight
			}
		}
		capped := false
		for name, a := range accounts {
			if _, done := out[name]; !done && a.sentCost <= total*a.weight/weights {
				out[name] = a.sentCost
				total -= a.sentCost
				capped = true
				break
			}
		}
		if capped {
			continue
		}
		for name, a := range accounts {
			if _, done := out[name]; !done {
				out[name] = total * a.weight / weights
			}
		}
	}
	return out
}

// coreTime returns the time on the core's clock.
func (sim *simulation) coreTime() instant { return clockStart.Add(sim.now.Sub(simStart)) }

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
