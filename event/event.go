// Package event records the numbered events of an instance in a ring buffer and in the log.
package event

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// ringSize is the capacity of an instance's ring buffer, in events.
const ringSize = 8192

// Event is one occurrence at an instance, of the kind given by its code.
type Event struct {
	Code     Code      `json:"code"`
	Name     string    `json:"name"`
	Time     time.Time `json:"time"`     // wall-clock time of the instance
	Stamp    Stamp     `json:"stamp"`    // logical time, which orders the events of all instances
	Sequence uint64    `json:"sequence"` // number of the event among all that the instance recorded, from 1
	Instance string    `json:"instance"`
	Request  string    `json:"request,omitempty"`
	Account  string    `json:"account,omitempty"`
	Server   string    `json:"server,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// Recorder keeps the newest events of one instance and logs events, except for frequent repeats. Its exported fields
// must be set before use.
type Recorder struct {
	Instance string
	Log      *logrus.Logger // nil to log nothing
	Now      func() time.Time
	Clock    *Clock // also stamps the RPCs between instances

	mu           sync.Mutex
	ring         []Event
	lastSequence uint64
	counts       map[Code]uint64 // number of recorded events by code, including those that left the ring
	repeats      repeatLimiter
	floods       map[Code]int // events of callerEvents since floodEnd - repeatWindow
	floodEnd     time.Time
}

// NewRecorder returns a recorder that logs to the given logger.
func NewRecorder(instance string, log *logrus.Logger) *Recorder {
	return &Recorder{Instance: instance, Log: log, Now: time.Now, Clock: NewClock(), counts: make(map[Code]uint64), floods: make(map[Code]int)}
}

// Record completes an event with its name, times, instance and sequence number, adds it to the ring and logs it,
// unless it is a frequent repeat. A nil recorder discards the event.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	definition := Catalogue[e.Code]
	e = e.clipped()
	e.Name = definition.Name
	e.Time = r.Now()
	e.Instance = r.Instance
	r.mu.Lock()
	r.counts[e.Code]++
	if r.isFlood(e) {
		r.mu.Unlock()
		return
	}
	r.lastSequence++
	e.Sequence = r.lastSequence
	e.Stamp = r.Clock.Next()
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
	} else {
		r.ring[(e.Sequence-1)%ringSize] = e
	}
	r.mu.Unlock()
	r.log(definition, e)
}

// isFlood reports whether an event is one of so many that clients caused that it is only counted. The caller must hold r.mu.
func (r *Recorder) isFlood(e Event) bool {
	if e.Request != "" || e.Account != "" || !callerEvents[e.Code] {
		return false
	}
	if !e.Time.Before(r.floodEnd) {
		clear(r.floods)
		r.floodEnd = e.Time.Add(repeatWindow)
	}
	r.floods[e.Code]++
	return r.floods[e.Code] > maxFloodEvents
}

func (r *Recorder) log(definition Definition, e Event) {
	if r.Log == nil || !r.Log.IsLevelEnabled(definition.Level) {
		return
	}
	if e.Request != "" {
		// Events of requests are not suppressed as repeats; AsyncWriter bounds the volume of the log.
		r.newLogEntry(e).Log(definition.Level, definition.Message)
		return
	}
	logged, suppressed := r.repeats.admit(e, e.Time)
	for key, n := range suppressed {
		summary := Event{
			Code: key.code, Name: Catalogue[key.code].Name, Account: key.account, Server: key.server, Detail: key.detail,
		}
		r.newLogEntry(summary).WithField("repeated", n).Log(Catalogue[key.code].Level, Catalogue[key.code].Message)
	}
	if logged {
		r.newLogEntry(e).Log(definition.Level, definition.Message)
	}
}

func (r *Recorder) newLogEntry(e Event) *logrus.Entry {
	fields := logrus.Fields{"event": int(e.Code), "name": e.Name, "instance": r.Instance, "stamp": uint64(e.Stamp)}
	addField(fields, "request", e.Request)
	addField(fields, "account", e.Account)
	addField(fields, "server", e.Server)
	addField(fields, "detail", e.Detail)
	return r.Log.WithFields(fields)
}

func addField(fields logrus.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}

// Events returns the events in the ring, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.ring))
	if len(r.ring) < ringSize {
		return append(out, r.ring...)
	}
	start := r.lastSequence % ringSize
	out = append(out, r.ring[start:]...)
	return append(out, r.ring[:start]...)
}

// Counts returns how often each kind of event was recorded, including events that left the ring.
func (r *Recorder) Counts() map[Code]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
