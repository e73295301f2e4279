package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// Constants of decode servers.
const (
	outlierFactor       = 1.8                    // a server this many times slower than its pool gets work only as a trial
	foreignLoadTTL      = 3 * time.Second        // how long a report of unknown requests is believed
	refusalTTL          = 700 * time.Millisecond // how long a rejection says that there is less room: until the next report
	foreignSlotsDivisor = 2                      // unknown requests are believed up to the slots divided by this
	maxReportLag        = 2 * time.Second        // the lag that a load report may have
	endTimeMargin       = 30 * time.Millisecond
	endTimeFactor       = 1.08 // on the predicted time to a stream's end
)

// decodeServer is the dispatcher's own account of a decode server.
type decodeServer struct {
	server     rule.Server
	slots      int
	pieces     int
	steps      serverStepModel
	health     health
	streams    []*reservation // by the progress at which they end
	usedPieces int            // pieces
	batchLimit int            // batch that keeps the target
	hasServed  bool           // it got a request
	heldKnown  bool           // the server told what it holds
	loadKnown  bool           // the server reported its load

	progress      float64 // tokens that a stream could have had since the start
	streamSeconds float64 // batch, integrated over time in seconds
	advancedAt    instant

	foreignSlots  int // slots of requests that others placed
	foreignPieces int // of their memory
	foreignUntil  instant
	slotPeaks     [2]int // largest own count in the present and the last window
	piecePeaks    [2]int // the same of pieces
	peakWindowEnd instant
}

// advance brings the progress of the streams up to now.
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

// others returns the slots that other dispatchers' requests are believed to take.
func (d *decodeServer) currentForeignSlots(now instant) int {
	if now.After(d.foreignUntil) {
		return 0
	}
	return d.foreignSlots
}

// othersMemory returns the pieces that other dispatchers' requests are believed to take: at least one each.
func (d *decodeServer) currentForeignPieces(now instant) int {
	if now.After(d.foreignUntil) {
		return 0
	}
	return max(d.foreignSlots, d.foreignPieces)
}

// add books a stream whose transfer ends after the given time.
func (d *decodeServer) add(r *reservation, wait time.Duration) {
	step := d.steps.step(len(d.streams) + 1)
	r.endProgress = d.progress + wait.Seconds()/step + float64(r.maxTokens)
	r.startStreamSeconds = d.streamSeconds
	d.hasServed = true
	d.insert(r)
	d.slotPeaks[0] = max(d.slotPeaks[0], len(d.streams))
}

// insert keeps the streams in the order of their expected ends.
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

// remove gives back what a stream held.
func (d *decodeServer) remove(r *reservation) {
	if i := slices.Index(d.streams, r); i >= 0 {
		d.streams = slices.Delete(d.streams, i, i+1)
		d.usedPieces -= r.pieces
	}
}

// room tells whether a request fits when its transfer starts, a given time from now. Streams that
// are predicted to end before that count as gone; those past their predicted end count as running.
func (d *decodeServer) hasRoom(now instant, pieces int, wait time.Duration) (fits, free bool) {
	others := d.currentForeignSlots(now)
	slots, memory := d.batchLimit-len(d.streams)-others, d.pieces-d.usedPieces-d.currentForeignPieces(now)
	if slots > 0 && memory >= pieces {
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
		slots++
		memory += s.pieces
		if slots > 0 && memory >= pieces {
			return true, false
		}
	}
	return false, false
}

// report takes in a load report, which may lag or lie: more requests than this dispatcher ever had
// at once within the lag are taken for others', up to a share of the slots; fewer are not believed.
func (d *decodeServer) recordLoad(now instant, l engine.RecordLoad) {
	d.advance(now)
	d.foreignSlots = min(max(l.Slots-max(d.slotPeaks[0], d.slotPeaks[1]), 0), d.slots/foreignSlotsDivisor)
	d.foreignPieces = max(l.Pieces-max(d.piecePeaks[0], d.piecePeaks[1]), 0)
	d.foreignUntil = now.Add(foreignLoadTTL)
	d.loadKnown = true
}

// refused notes that the server had no room for a request although the count said so: for a while it is taken to have
// less room than the request needed.
func (d *decodeServer) recordRefusal(now instant, pieces int) {
	missing := max(d.pieces-d.usedPieces-pieces+1, 0)
	d.foreignPieces = max(d.currentForeignPieces(now), missing)
	d.foreignSlots = min(d.currentForeignSlots(now)+1, d.slots/foreignSlotsDivisor)
	d.foreignUntil = max(d.foreignUntil, now.Add(refusalTTL))
}

// usable tells whether the server may get a new request now.
func (d *decodeServer) usable(now instant) bool {
	if d.server.State != rule.Live || !d.health.usable(now) || (d.health.onTrial() && len(d.streams) > 0) {
		return false
	}
	if !d.steps.outlier() {
		return true
	}
	d.steps.resetStaleFactor(now)
	return len(d.streams) == 0 && now.Sub(d.steps.lastSample) > trialInterval
}
