package cell

import "time"

// lane predicts when work ends that is done one after the other: prompts at a prefill server, or transfers on its link.
// Reports correct it, so that errors don't add up while it is busy without a pause.
type lane struct {
	free  instant       // when the work booked so far ends
	chain int           // of work that follows each other without a pause
	shift time.Duration // by which the chain's predicted ends were moved
}

// booking is work on a lane as it was predicted.
type booking struct {
	start, end instant
	chain      int
	shift      time.Duration
}

// book adds work.
func (l *lane) book(start, end instant) booking {
	if start.After(l.free) {
		l.chain++
		l.shift = 0
	}
	l.free = end
	return booking{start: start, end: end, chain: l.chain, shift: l.shift}
}

// correct takes in the true end of work.
func (l *lane) correct(b booking, end instant) {
	if b.chain == l.chain {
		l.move(end.Sub(b.end) - (l.shift - b.shift))
	}
}

// cancel takes off what is left of work that is not done any more.
func (l *lane) cancel(now instant, b booking) {
	if b.chain != l.chain {
		return
	}
	moved := l.shift - b.shift
	if left := b.end.Add(moved).Sub(later(b.start.Add(moved), now)); left > 0 {
		l.move(-left)
	}
}

func (l *lane) move(d time.Duration) {
	l.shift += d
	l.free = l.free.Add(d)
}
