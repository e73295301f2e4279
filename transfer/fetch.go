package transfer

import (
	"context"
	"sync"
	"time"

	"teaselgate/delay"
)

const (
	fetchWorkers = 2                      // requests of a fetch that are under way at once, each to another source
	askTimeout   = 300 * time.Millisecond // a reply has at most replyBytes, behind those to maxUploads instances
	pickInterval = 10 * time.Millisecond  // time between looks for a source that can be asked
	// searchDelay is how soon a source must be available; otherwise an instance of which nothing is known is asked.
	searchDelay = 100 * time.Millisecond
	// stallLimit is how long a fetch goes on without parts. Those that had the document may be gone, and an older one is better
	// than none.
	stallLimit = 3 * time.Second
)

// Fetch fetches a document from other instances. Its exported fields are set before Run.
type Fetch struct {
	Offer  *Offer
	Self   string // peer address of this instance
	Ask    func(ctx context.Context, address string, args Args) (Reply, error)
	Near   func(address string) bool // reports whether an instance is in the same availability zone
	Search func() string             // returns a random instance, or an empty string
	Failed func(address string, err error)
	Now    func() time.Time

	outline  Outline
	mu       sync.Mutex
	plan     *Plan
	stats    Stats
	searched time.Time // time of the last search
	stalls   time.Time // time at which the fetch ends unless parts come before
}

// Stats says what a fetch has cost.
type Stats struct {
	Bytes    int // bytes of parts that were missing
	Requests int
	Failures int
	Sources  map[string]int // bytes by source
}

// NewFetch returns a fetch of a document without sources.
func NewFetch(outline Outline) *Fetch {
	return &Fetch{
		Near: func(string) bool { return false }, Search: func() string { return "" }, Failed: func(string, error) {}, Now: time.Now,
		outline: outline, plan: NewPlan(), stats: Stats{Sources: make(map[string]int)},
	}
}

// Sum returns the sum of the document.
func (f *Fetch) Sum() Sum { return f.outline.Sum }

// Add adds an instance that has the document or fetches it.
func (f *Fetch) Add(address string) {
	if address == f.Self || address == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.Add(address, f.Near(address))
}

// Stats returns what the fetch has cost so far.
func (f *Fetch) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Run fetches the missing parts until the document is complete or the context ends. Meanwhile the Offer gives the parts that
// are there to others. Errors: ErrMalformed, ErrDamaged, ErrStalled, and that of the context.
func (f *Fetch) Run(ctx context.Context) (*Document, []byte, error) {
	assembly, err := f.Offer.begin(f.outline)
	if err != nil {
		return nil, nil, err
	}
	f.mu.Lock()
	f.stalls = f.Now().Add(stallLimit)
	f.mu.Unlock()
	var workers sync.WaitGroup
	for worker := range fetchWorkers {
		workers.Go(func() { f.work(ctx, assembly, worker) })
	}
	workers.Wait()
	if ctx.Err() != nil {
		return nil, nil, ctx.Err()
	}
	if n := f.Offer.Missing(f.outline.Sum); n > 0 {
		return nil, nil, stalled.New("transfer: nobody has %d parts of %d that are missing", n, f.outline.Len())
	}
	return assembly.Document()
}

// work asks one source after the other until nothing is missing, nothing has come for too long or the context ends.
func (f *Fetch) work(ctx context.Context, assembly *Assembly, worker int) {
	for ctx.Err() == nil {
		wanted, missing := f.Offer.wanted(assembly, worker, fetchWorkers)
		if !missing || f.isStalled() {
			return
		}
		address, ok := f.pick()
		if !ok {
			_ = delay.For(ctx, pickInterval)
			continue
		}
		f.ask(ctx, assembly, address, wanted)
	}
}

// isStalled reports whether nothing has come for too long.
func (f *Fetch) isStalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now().After(f.stalls)
}

// pick returns a source that can be asked now. If there will be none soon, it adds one to ask.
func (f *Fetch) pick() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	address, ok := f.plan.Pick(now)
	if ok || f.plan.Available(now.Add(searchDelay)) || now.Sub(f.searched) < searchDelay {
		return address, ok
	}
	f.searched = now
	if found := f.Search(); found != "" && found != f.Self {
		f.plan.Add(found, f.Near(found))
	}
	return f.plan.Pick(now)
}

// ask asks a source for parts and takes what it replies.
func (f *Fetch) ask(ctx context.Context, assembly *Assembly, address string, wanted []byte) {
	call, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	reply, err := f.Ask(call, address, Args{Address: f.Self, Sum: f.outline.Sum, Wanted: wanted})
	if err := f.take(assembly, address, reply, err); err != nil && ctx.Err() == nil {
		f.Failed(address, err)
	}
}

// take takes the parts of a reply, or the error of the request, and returns why the request failed.
func (f *Fetch) take(assembly *Assembly, address string, reply Reply, err error) error {
	bytes, valid := 0, true
	if err == nil {
		bytes, valid = f.Offer.add(assembly, reply.Parts)
	}
	if err == nil && !valid {
		err = damaged.New("transfer: %s sent parts that do not belong to the document", address)
	}
	if err != nil {
		reply = Reply{Result: Failed}
	}
	for _, other := range reply.Others {
		f.Add(other)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.Report(address, reply.Result, f.Now())
	f.stats.Requests++
	f.stats.Bytes += bytes
	if bytes > 0 {
		f.stalls = f.Now().Add(stallLimit)
		f.stats.Sources[address] += bytes
	}
	if err != nil {
		f.stats.Failures++
	}
	return err
}
