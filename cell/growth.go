package cell

// Growth of the reservations of streams that outlast their estimates.
const (
	growthShare = 0.25 // part of its estimate by which a stream that outlasts it is expected to continue
	minGrowth   = 128  // tokens
)

// advance updates the progress of a server's streams to now. A stream past its predicted end is expected to continue
// for a while, and its reservation grows. The estimates are right at the median, but most of the streams that run at
// any time are long ones, and together they need more memory than the estimates reserve.
func (c *Core) advance(now instant, d *decodeServer) {
	d.advance(now)
	for atCeiling := 0; atCeiling < len(d.streams); {
		r := d.streams[atCeiling]
		if r.endProgress > d.progress {
			return
		}
		if r.maxTokens >= r.ceiling {
			atCeiling++ // about to end; those behind it may still grow
			continue
		}
		more := max(int(growthShare*float64(r.maxTokens)), minGrowth)
		more = min(more, r.ceiling-r.maxTokens)
		d.remove(r)
		r.maxTokens += more
		r.pieces = c.piecesNeeded(PlaceRequest{PromptTokens: r.promptTokens, MaxTokens: r.maxTokens})
		r.endProgress += float64(more)
		d.insert(r)
	}
}
