package cell

// Growth of streams that last longer than expected.
const (
	growthShare = 0.25 // of what a stream has made already is expected to come still
	minGrowth   = 128  // tokens
)

// advance brings a server's streams up to now. One that is past its expected end is taken to go on for a while and
// keeps more memory. Load that it answers: the callers' estimates are right at the median, but of the streams that run
// at any time most are long ones, and together they need more memory than was set aside.
func (c *Core) advance(now instant, d *decodeServer) {
	d.advance(now)
	for len(d.streams) > 0 {
		r := d.streams[0]
		if r.endProgress > d.progress || r.maxTokens >= r.ceiling {
			return
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
