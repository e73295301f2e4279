package transfer

import (
	"math/rand/v2"
	"time"
)

// Times for which a source is not asked again, by the result of the last request to it.
const (
	busyPause    = 40 * time.Millisecond
	emptyPause   = 30 * time.Millisecond
	unknownPause = 500 * time.Millisecond
	failurePause = time.Second // doubled with each further failure in a row
	maxFailures  = 4           // failures in a row after which the pause no longer grows

	// nearPreference is how long after parts from the same availability zone no source of another one is asked.
	nearPreference = 100 * time.Millisecond
)

// Result is the result of a request for parts.
type Result int

// Results of requests for parts.
const (
	Delivered Result = iota // parts came
	Busy                    // the source gives parts to others at present
	Empty                   // the source has none of the parts yet
	Unknown                 // the source does not know the document
	Failed                  // no reply, or parts that nobody asked for
)

// Plan decides which instances to ask for the parts of a document.
type Plan struct {
	Random func(n int) int // returns a random number below n

	sources     map[string]*source // by address
	order       []*source          // in the order in which they were added
	nearFetched time.Time          // when parts last came from the same availability zone
}

// source is an instance that may have parts.
type source struct {
	address   string
	near      bool
	asked     bool      // whether a request to it is under way
	next      time.Time // time from which it may be asked again
	delivered time.Time // when it last gave parts, if it did so at the last request
	failures  int       // in a row
}

// NewPlan returns a plan without sources.
func NewPlan() *Plan { return &Plan{Random: rand.IntN, sources: make(map[string]*source)} }

// Add adds a source, which is near if it is in the same availability zone. It reports whether the source is new.
func (p *Plan) Add(address string, near bool) bool {
	if p.sources[address] != nil {
		return false
	}
	s := &source{address: address, near: near}
	p.sources[address], p.order = s, append(p.order, s)
	return true
}

// Pick returns a source to ask now, and marks it as asked. Near ones go first, and of these the one that gave parts last, since
// it has room for this instance.
func (p *Plan) Pick(now time.Time) (address string, ok bool) {
	var best *source
	count := 0
	for _, s := range p.order {
		if s.asked || now.Before(s.next) || !s.near && now.Sub(p.nearFetched) < nearPreference {
			continue
		}
		switch order := compareSources(s, best); {
		case order > 0:
			best, count = s, 1
		case order == 0:
			if count++; p.Random(count) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return "", false
	}
	best.asked = true
	return best.address, true
}

// compareSources returns a positive number if s goes before other, and zero if they are alike. A nil one goes last.
func compareSources(s, other *source) int {
	switch {
	case other == nil || s.near && !other.near:
		return 1
	case other.near && !s.near:
		return -1
	}
	return s.delivered.Compare(other.delivered)
}

// Report takes the result of a request.
func (p *Plan) Report(address string, result Result, now time.Time) {
	s := p.sources[address]
	if s == nil {
		return
	}
	s.asked, s.delivered = false, time.Time{}
	if result == Failed {
		s.next = now.Add(failurePause << min(s.failures, maxFailures))
		s.failures++
		return
	}
	s.failures = 0
	switch result {
	case Delivered:
		s.next, s.delivered = now, now
		if s.near {
			p.nearFetched = now
		}
	case Busy:
		s.next = now.Add(busyPause)
	case Empty:
		s.next = now.Add(emptyPause)
		if s.near {
			p.nearFetched = time.Time{} // those nearby wait for the same parts
		}
	case Unknown, Failed:
		s.next = now.Add(unknownPause)
	}
}

// Available reports whether a source can be asked before a time.
func (p *Plan) Available(before time.Time) bool {
	for _, s := range p.order {
		if !s.asked && s.next.Before(before) {
			return true
		}
	}
	return false
}
