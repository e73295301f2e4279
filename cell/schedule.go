package cell

import "time"

// schedule predicts the ends of work that is done one after the other: prompts at a prefill server, or transfers on its
// link. Reported ends correct the predictions, so that errors do not add up during a busy period.
type schedule struct {
	freeAt     instant       // predicted end of all booked work
	busyPeriod int           // sequence number of the current period of work without a pause
	correction time.Duration // sum of the corrections in the current busy period
}

// booking is the prediction for one job on a schedule.
type booking struct {
	start, end instant
	busyPeriod int
	correction time.Duration
}

// book adds a job.
func (s *schedule) book(start, end instant) booking {
	if start.After(s.freeAt) {
		s.busyPeriod++
		s.correction = 0
	}
	s.freeAt = end
	return booking{start: start, end: end, busyPeriod: s.busyPeriod, correction: s.correction}
}

// correct records the actual end of a job.
func (s *schedule) correct(b booking, end instant) {
	if b.busyPeriod == s.busyPeriod {
		s.move(end.Sub(b.end) - (s.correction - b.correction))
	}
}

// cancel removes the remaining time of a job that is not going to be done.
func (s *schedule) cancel(now instant, b booking) {
	if b.busyPeriod != s.busyPeriod {
		return
	}
	moved := s.correction - b.correction
	if left := b.end.Add(moved).Sub(later(b.start.Add(moved), now)); left > 0 {
		s.move(-left)
	}
}

func (s *schedule) move(d time.Duration) {
	s.correction += d
	s.freeAt = s.freeAt.Add(d)
}
