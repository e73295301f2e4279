package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// Constants of decode servers.
const (
	outlierFactor   = 1.8                    // a server this many times slower than its pool gets work only as a trial
	foreignLife     = 3 * time.Second        // how long a report of unknown requests is believed
	refusedLife     = 700 * time.Millisecond // how long a rejection says that there is less room: until the next report
	foreignShare    = 2                      // unknown requests are believed up to the slots divided by this
	ownWindow       = 2 * time.Second        // the lag that a load report may have
	predictedMargin = 30 * time.Millisecond
	predictedFactor = 1.08 // on the predicted time to a stream's end
)

// decodeServer is the dispatcher's own account of a decode server.
type decodeServer struct {
	server  rule.Server
	slots   int
	pieces  int
	steps   stepModel
	health  health
	streams []*reservation // by the progress at which they end
	used    int            // pieces
	limit   int            // batch that keeps the target
	tried   bool           // it got a request
	told    bool           // the server told what it holds
	polled  bool           // the server reported its load

	progress float64 // tokens that a stream could have had since the start
	batched  float64 // batch, integrated over time in seconds
	at       instant

	foreign       int // slots of requests that others placed
	foreignPieces int // of their memory
	foreignUntil  instant
	peaks         [2]int // largest own count in the present and the last window
	piecePeaks    [2]int // the same of pieces
	peakEnd       instant
}

// advance brings the progress of the streams up to now.
func (d *decodeServer) advance(now instant) {
	dt := now.Sub(d.at).Seconds()
	if dt <= 0 {
		return
	}
	batch := len(d.streams)
	d.progress += dt / d.steps.step(max(batch, 1))
	d.batched += dt * float64(batch)
	d.at = now
	if now.After(d.peakEnd) {
		d.peaks = [2]int{batch, d.peaks[0]}
		d.piecePeaks = [2]int{d.used, d.piecePeaks[0]}
		d.peakEnd = now.Add(ownWindow)
	}
}

// others returns the slots that other dispatchers' requests are believed to take.
func (d *decodeServer) others(now instant) int {
	if now.After(d.foreignUntil) {
		return 0
	}
	return d.foreign
}

// othersMemory returns the pieces that other dispatchers' requests are believed to take: at least one each.
func (d *decodeServer) othersMemory(now instant) int {
	if now.After(d.foreignUntil) {
		return 0
	}
	return max(d.foreign, d.foreignPieces)
}

// add books a stream whose transfer ends after the given time.
func (d *decodeServer) add(r *reservation, wait time.Duration) {
	step := d.steps.step(len(d.streams) + 1)
	r.endProgress = d.progress + wait.Seconds()/step + float64(r.maxTokens)
	r.startBatched = d.batched
	d.tried = true
	d.insert(r)
	d.peaks[0] = max(d.peaks[0], len(d.streams))
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
	d.used += r.pieces
	d.piecePeaks[0] = max(d.piecePeaks[0], d.used)
}

// remove gives back what a stream held.
func (d *decodeServer) remove(r *reservation) {
	if i := slices.Index(d.streams, r); i >= 0 {
		d.streams = slices.Delete(d.streams, i, i+1)
		d.used -= r.pieces
	}
}

// room tells whether a request fits when its transfer starts, a given time from now. Streams that
// are predicted to end before that count as gone; those past their predicted end count as running.
func (d *decodeServer) room(now instant, pieces int, wait time.Duration) (fits, free bool) {
	others := d.others(now)
	slots, memory := d.limit-len(d.streams)-others, d.pieces-d.used-d.othersMemory(now)
	if slots > 0 && memory >= pieces {
		return true, true
	}
	d.advance(now)
	step := d.steps.step(len(d.streams))
	horizon := (wait - predictedMargin).Seconds()
	for _, s := range d.streams {
		left := (s.endProgress - d.progress) * step * predictedFactor
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
func (d *decodeServer) report(now instant, l engine.LoadReport) {
	d.advance(now)
	d.foreign = min(max(l.Slots-max(d.peaks[0], d.peaks[1]), 0), d.slots/foreignShare)
	d.foreignPieces = max(l.Pieces-max(d.piecePeaks[0], d.piecePeaks[1]), 0)
	d.foreignUntil = now.Add(foreignLife)
	d.polled = true
}

// refused notes that the server had no room for a request although the count said so: for a while it is taken to have
// less room than the request needed.
func (d *decodeServer) refused(now instant, pieces int) {
	missing := max(d.pieces-d.used-pieces+1, 0)
	d.foreignPieces = max(d.othersMemory(now), missing)
	d.foreign = min(d.others(now)+1, d.slots/foreignShare)
	d.foreignUntil = max(d.foreignUntil, now.Add(refusedLife))
}

// usable tells whether the server may get a new request now.
func (d *decodeServer) usable(now instant) bool {
	if d.server.State != rule.ServerLive || !d.health.usable(now) || (d.health.trial() && len(d.streams) > 0) {
		return false
	}
	if !d.steps.outlier() {
		return true
	}
	d.steps.recover(now)
	return len(d.streams) == 0 && now.Sub(d.steps.at) > trialInterval
}
