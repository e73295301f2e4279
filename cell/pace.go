package cell

import (
	"sync"
	"time"
)

// paceWeight is the weight of a new sample of a pace.
const paceWeight = 0.2

// paces holds the time per token that this instance has measured, by pool of decode servers. A dispatcher that has just taken
// over a cell has measured none itself.
type paces struct {
	mu     sync.Mutex
	byPool map[string]time.Duration
}

// observe records a stream that has ended.
func (p *paces) observe(pool string, r Report) {
	if r.BadDecode || r.Imported.IsZero() || r.Ended.IsZero() || r.Generated == 0 {
		return
	}
	sample := r.Ended.Sub(r.Imported) / time.Duration(r.Generated)
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.byPool[pool]
	if !ok {
		mean = sample
	}
	p.byPool[pool] = mean + time.Duration(paceWeight*float64(sample-mean))
}

// of returns the time per token in a pool, or 0 without a sample.
func (p *paces) of(pool string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byPool[pool]
}
