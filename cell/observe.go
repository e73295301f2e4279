package cell

import "time"

// RecordProgress updates the rates of a prefill server from a report that comes before the end of the reservation.
func (c *Core) RecordProgress(now instant, key string, report Report) {
	if r, ok := c.reservations[key]; ok && r.prefill != nil {
		c.observePrefill(now, r, report)
	}
}

func (c *Core) observePrefill(now instant, r *reservation, report Report) {
	if r.prefillRecorded || report.Prefilled.IsZero() {
		return
	}
	r.prefillRecorded = true
	r.prefill.health.recordSuccess(now)
	r.prefill.observe(now, r, report)
}

// Release ends a reservation and updates the models of its servers from the report, if that has a time of placement.
func (c *Core) Release(now instant, key string, report Report) {
	r, ok := c.reservations[key]
	if !ok {
		return
	}
	delete(c.reservations, key)
	c.advance(now, r.decode)
	r.decode.remove(r)
	if r.prefill == nil {
		return
	}
	r.prefill.finish(now, r, report)
	if report.Placed.IsZero() {
		return
	}
	c.observeResult(now, r, report)
}

func (c *Core) observeResult(now instant, r *reservation, report Report) {
	d := r.decode
	c.observePrefill(now, r, report)
	c.observeStep(now, r, report)
	switch {
	case report.Refused:
		d.recordRefusal(now, r.pieces)
	case report.BadDecode:
		d.health.recordCallFailure(now)
	case report.Generated > 0:
		d.health.recordSuccess(now)
	case report.BadPrefill:
		r.prefill.health.recordCallFailure(now)
	}
}

// observeStep updates the step time from a stream, unless the decode server broke it: the duration of a broken stream
// does not show how long steps take.
func (c *Core) observeStep(now instant, r *reservation, report Report) {
	span := now.Sub(r.placedAt).Seconds()
	if report.BadDecode || report.Imported.IsZero() || report.Generated == 0 || span <= 0 {
		return
	}
	if c.poolStep.samples == 0 {
		c.demand = demand{at: now, meanTokens: c.demand.meanTokens} // the demand so far was computed with the initial step time
	}
	d, took := r.decode, report.Ended.Sub(report.Imported)
	d.steps.observe(now, (d.streamSeconds-r.startStreamSeconds)/span, took/time.Duration(report.Generated))
	d.batchLimit = d.steps.limit(d.slots, c.targets.TokenInterval)
	factors := make([]float64, 0, len(c.decodes))
	for _, d := range c.decodes {
		factors = append(factors, d.steps.factor)
	}
	c.poolStep.updateTypical(factors)
}
