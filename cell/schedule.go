package cell

import "time"

// lane predicts when work ends that is done one after the other: prompts at a prefill server, or transfers on its link.
// Reports correct it, so that errors don't add up while it is busy without a pause.
type schedule struct {
	freeAt     instant       // when the work booked so far ends
	busyPeriod int           // of work that follows each other without a pause
	correction time.Duration // by which the chain's predicted ends were moved
}

// booking is work on a lane as it was predicted.
type booking struct {
	start, end instant
	busyPeriod int
	correction time.Duration
}

// book adds work.
func (l *schedule) book(start, end instant) booking {
	if start.After(l.freeAt) {
		l.busyPeriod++
		l.correction = 0
	}
	l.freeAt = end
	return booking{start: start, end: end, busyPeriod: l.busyPeriod, correction: l.correction}
}

// correct takes in the true end of work.
func (l *schedule) correct(b booking, end instant) {
	if b.busyPeriod == l.busyPeriod {
		l.move(end.Sub(b.end) - (l.correction - b.correction))
	}
}

// cancel takes off what is left of work that is not done any more.
func (l *schedule) cancel(now instant, b booking) {
	if b.busyPeriod != l.busyPeriod {
		return
	}
	moved := l.correction - b.correction
	if left := b.end.Add(moved).Sub(later(b.start.Add(moved), now)); left > 0 {
		l.move(-left)
	}
}

func (l *schedule) move(d time.Duration) {
	l.correction += d
	l.freeAt = l.freeAt.Add(d)
}
