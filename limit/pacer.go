// Package limit keeps slow and numerous callers from exhausting an instance.
package limit

import "time"

// pacer bounds the time that a request waits for its caller: a stall's worth at first, earned back by each byte moved.
type pacer struct {
	stall  time.Duration // most credit
	pace   int64         // bytes per second
	credit time.Duration
}

func newPacer(stall time.Duration, pace int64) *pacer {
	return &pacer{stall: stall, pace: pace, credit: stall}
}

// deadline returns when a wait that begins now must end.
func (p *pacer) deadline(now time.Time) time.Time { return now.Add(p.credit) }

// spend accounts for a wait that moved n bytes.
func (p *pacer) spend(waited time.Duration, n int) {
	earned := time.Duration(int64(n) * int64(time.Second) / p.pace)
	p.credit = min(p.credit-waited+earned, p.stall)
}
