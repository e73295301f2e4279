package cell

import "time"

// instant is a time on the clock of one core, in nanoseconds. It is smaller and faster to compare than time.Time, of
// which a decision needs several for each server. Zero means never.
type instant int64

// clockStart is the time on a core's clock when the core is created.
const clockStart = instant(time.Hour)

// Add returns the instant after a duration.
func (t instant) Add(d time.Duration) instant { return t + instant(d) }

// Sub returns the duration since an earlier instant.
func (t instant) Sub(o instant) time.Duration { return time.Duration(t - o) }

// After reports whether t is later than o.
func (t instant) After(o instant) bool { return t > o }

// Before reports whether t is earlier than o.
func (t instant) Before(o instant) bool { return t < o }

// IsZero reports whether t means never.
func (t instant) IsZero() bool { return t == 0 }

func later(a, b instant) instant { return max(a, b) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
