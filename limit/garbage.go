package limit

import "runtime/metrics"

// garbage counts bytes that were given back and that the runtime may not have collected yet.
type garbage struct {
	old        int64 // given back before epoch
	recent     int64
	epoch      uint64 // number of collections when recent was zero
	collecting bool   // whether a collection was asked for
}

// cyclesMetric is the number of collections that the runtime has completed.
const cyclesMetric = "/gc/cycles/total:gc-cycles"

// add counts bytes that are given back.
func (g *garbage) add(n int64) { g.recent += n }

// counted returns the bytes that were given back since bytes last found some collected.
func (g *garbage) counted() int64 { return g.old + g.recent }

// bytes returns the bytes that may not have been collected.
func (g *garbage) bytes() int64 {
	sample := []metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(sample)
	cycles := sample[0].Value.Uint64()
	// The collection that was running at the epoch may have missed what was given back before it; the next one did not.
	if cycles >= g.epoch+2 {
		g.old, g.recent, g.epoch = g.recent, 0, cycles
	}
	return g.counted()
}

// collected records a collection that began when a number of bytes had been given back.
func (g *garbage) collected(bytes int64) {
	g.collecting = false
	fromOld := min(bytes, g.old)
	g.old -= fromOld
	g.recent = max(g.recent-(bytes-fromOld), 0)
}
