package queue

import "time"

// Instant is a time on the clock of one cell, in nanoseconds. It is smaller and faster to compare than time.Time, of which a
// decision needs several for each server. Zero means never.
type Instant int64

// Add returns the instant after a duration.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration since an earlier instant.
func (t Instant) Sub(o Instant) time.Duration { return time.Duration(t - o) }

// After reports whether t is later than o.
func (t Instant) After(o Instant) bool { return t > o }

// Before reports whether t is earlier than o.
func (t Instant) Before(o Instant) bool { return t < o }

// IsZero reports whether t means never.
func (t Instant) IsZero() bool { return t == 0 }
