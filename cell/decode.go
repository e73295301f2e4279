package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// Constants of decode servers.
const (
	outlierFactor       = 1.8                    // a server slower than typical by this factor gets only short streams that no other has room for
	slowFactor          = 1.5                    // a server slower than the median by this factor gets no long streams
	foreignLoadTTL      = 3 * time.Second        // how long the counts of other dispatchers' requests are used
	refusalTTL          = 700 * time.Millisecond // how long the room counts as lower after a refused import
	foreignSlotsDivisor = 2                      // at most slots/foreignSlotsDivisor count as taken by others
	maxReportLag        = 2 * time.Second        // a load report may show a state up to this long ago
	endTimeMargin       = 30 * time.Millisecond  // a stream must end this long before a transfer to make room for it
	endTimeFactor       = 1.08                   // safety factor on the predicted time to the end of a stream
	maxSlowShare        = 0.4                    // part of the time to the deadline that a stream at a slow server may take
)

// decodeServer is the dispatcher's state of a decode server.
type decodeServer struct {
	server     rule.Server
	slots      int
	pieces     int
	steps      serverStepModel
	health     health
	streams    []*reservation // sorted by endProgress
	usedPieces int            // KV cache pieces reserved by streams
	batchLimit int            // largest batch whose step meets the target
	hasServed  bool           // a request was placed at the server
	heldKnown  bool           // the server has listed its requests
	loadKnown  bool           // the server has reported its load

	progress      float64 // tokens that a stream would have if it had run since the server was added
	streamSeconds float64 // integral of the batch size over time, in seconds
	advancedAt    instant // time of the last advance

	foreignSlots  int     // slots taken by requests of other dispatchers
	foreignPieces int     // KV cache pieces taken by requests of other dispatchers
	foreignUntil  instant // end of the validity of the two counts above
	slotPeaks     [2]int  // most streams in the current and the previous window
	piecePeaks    [2]int  // most reserved pieces in the current and the previous window
	peakWindowEnd instant
}

// advance updates the progress of the streams to now.
func (d *decodeServer) advance(now instant) {
	dt := now.Sub(d.advancedAt).Seconds()
	if dt <= 0 {
		return
	}
	batch := len(d.streams)
	d.progress += dt / d.steps.step(max(batch, 1))
	d.streamSeconds += dt * float64(batch)
	d.advancedAt = now
	if now.After(d.peakWindowEnd) {
		d.slotPeaks = [2]int{batch, d.slotPeaks[0]}
		d.piecePeaks = [2]int{d.usedPieces, d.piecePeaks[0]}
		d.peakWindowEnd = now.Add(maxReportLag)
	}
}

// currentForeignSlots returns the slots believed to be taken by requests of other dispatchers.
func (d *decodeServer) currentForeignSlots(now instant) int {
	if now.After(d.foreignUntil) {
		return 0
	}
	return d.foreignSlots
}

// currentForeignPieces returns the pieces believed to be taken by requests of other dispatchers, at least one for
// each request.
func (d *decodeServer) currentForeignPieces(now instant) int {
	if now.After(d.foreignUntil) {
		return 0
	}
	return max(d.foreignSlots, d.foreignPieces)
}

// add adds a stream whose transfer ends after wait.
func (d *decodeServer) add(r *reservation, wait time.Duration) {
	step := d.steps.step(len(d.streams) + 1)
	r.endProgress = d.progress + wait.Seconds()/step + float64(r.maxTokens)
	r.startStreamSeconds = d.streamSeconds
	d.hasServed = true
	d.insert(r)
	d.slotPeaks[0] = max(d.slotPeaks[0], len(d.streams))
}

// insert adds a stream in the order of the predicted ends.
func (d *decodeServer) insert(r *reservation) {
	i, _ := slices.BinarySearchFunc(d.streams, r.endProgress, func(s *reservation, end float64) int {
		if s.endProgress < end {
			return -1
		}
		return 1
	})
	d.streams = slices.Insert(d.streams, i, r)
	d.usedPieces += r.pieces
	d.piecePeaks[0] = max(d.piecePeaks[0], d.usedPieces)
}

// remove removes a stream and frees its pieces.
func (d *decodeServer) remove(r *reservation) {
	if i := slices.Index(d.streams, r); i >= 0 {
		d.streams = slices.Delete(d.streams, i, i+1)
		d.usedPieces -= r.pieces
	}
}

// hasRoom reports whether a request fits when its transfer starts, after wait, and whether it fits now. Streams
// predicted to end before the transfer starts count as ended; those past their predicted end count as running.
func (d *decodeServer) hasRoom(now instant, pieces int, wait time.Duration) (fits, free bool) {
	foreign := d.currentForeignSlots(now)
	freeSlots, freePieces := d.batchLimit-len(d.streams)-foreign, d.pieces-d.usedPieces-d.currentForeignPieces(now)
	if freeSlots > 0 && freePieces >= pieces {
		return true, true
	}
	d.advance(now)
	step := d.steps.step(len(d.streams))
	horizon := (wait - endTimeMargin).Seconds()
	for _, s := range d.streams {
		left := (s.endProgress - d.progress) * step * endTimeFactor
		if left > horizon {
			break
		}
		if left <= 0 {
			continue
		}
		freeSlots++
		freePieces += s.pieces
		if freeSlots > 0 && freePieces >= pieces {
			return true, false
		}
	}
	return false, false
}

// recordLoad records a load report, which may be stale or wrong. Requests beyond the most that this dispatcher had at
// once within maxReportLag count as those of other dispatchers, up to a share of the slots. A report of fewer requests
// does not lower the dispatcher's own count.
func (d *decodeServer) recordLoad(now instant, l engine.LoadReport) {
	d.advance(now)
	d.foreignSlots = min(max(l.Slots-max(d.slotPeaks[0], d.slotPeaks[1]), 0), d.slots/foreignSlotsDivisor)
	d.foreignPieces = max(l.Pieces-max(d.piecePeaks[0], d.piecePeaks[1]), 0)
	d.foreignUntil = now.Add(foreignLoadTTL)
	d.loadKnown = true
}

// recordRefusal records that the server had no room for a request although the reservations left room. For at least
// refusalTTL, or until the next load report, the server counts as having less room than the request needed.
func (d *decodeServer) recordRefusal(now instant, pieces int) {
	missing := max(d.pieces-d.usedPieces-pieces+1, 0)
	d.foreignPieces = max(d.currentForeignPieces(now), missing)
	d.foreignSlots = min(d.currentForeignSlots(now)+1, d.slots/foreignSlotsDivisor)
	d.foreignUntil = max(d.foreignUntil, now.Add(refusalTTL))
}

// longestStream returns the time to generate the most tokens to allow for, with as many streams beside it as the server has had
// lately. Before the first sample of a step the pace is that of the calling instance, if it has measured one.
func (d *decodeServer) longestStream(now instant, request *PlaceRequest) (longest time.Duration, known bool) {
	step := request.Pace.Seconds()
	if d.steps.pool.samples > 0 {
		step = d.steps.step(max(len(d.streams), d.slotPeaks[0], d.slotPeaks[1]) + d.currentForeignSlots(now) + 1)
	}
	return seconds(float64(max(request.LongestOutput, request.MaxTokens)) * step * endTimeFactor), step > 0
}

// endsInTime reports whether the longest response to a request ends before its instance has shut down, if the prompt's KV
// cache is ready after wait.
func (d *decodeServer) endsInTime(now instant, request *PlaceRequest, wait time.Duration) bool {
	if request.mustEnd == 0 {
		return true
	}
	longest, known := d.longestStream(now, request)
	return known && !now.Add(wait+longest).After(request.mustEnd)
}

// usable reports whether the server may get a new request now. A server on trial gets one at a time.
func (d *decodeServer) usable(now instant) bool {
	return d.server.State == rule.ServerLive && d.health.usable(now) && (!d.health.onTrial() || len(d.streams) == 0)
}

// isSlow reports whether the server is so slow that it gets only what mayTakeSlowly allows. An idle outlier gets a request like
// any other when it has had no sample for trialInterval. After stepRecoveryTime without samples, its factor is reset.
func (d *decodeServer) isSlow(now instant) bool {
	if !d.steps.outlier() {
		return d.steps.slow()
	}
	d.steps.resetStaleFactor(now)
	return len(d.streams) > 0 || now.Sub(d.steps.lastSample) <= trialInterval
}

// mayTakeSlowly reports whether a slow server may get a request that no other one has room for: one whose stream is not longer
// than usual and ends in good time, with events that come as often as they must. Long streams wait for faster servers.
func (d *decodeServer) mayTakeSlowly(request *PlaceRequest, usualTokens float64) bool {
	if request.Left <= 0 {
		return !d.steps.outlier()
	}
	if float64(request.MaxTokens) > usualTokens || len(d.streams) >= d.batchLimit {
		return false
	}
	stream := seconds(float64(request.MaxTokens) * d.steps.step(d.batchLimit))
	return stream <= time.Duration(maxSlowShare*float64(request.Left))
}
