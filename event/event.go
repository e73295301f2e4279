// Package event records numbered events of one instance in a bounded ring and in the log.
package event

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// ringSize is the number of events that an instance keeps.
const ringSize = 8192

// Event is one numbered occurrence on the time line.
type Event struct {
	Code     Code      `json:"code"`
	Name     string    `json:"name"`
	Time     time.Time `json:"time"`     // by the instance's own clock
	Stamp    Stamp     `json:"stamp"`    // orders the events of all instances
	Sequence uint64    `json:"sequence"` // position in the instance's ring
	Instance string    `json:"instance"`
	Request  string    `json:"request,omitempty"`
	Account  string    `json:"account,omitempty"`
	Server   string    `json:"server,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// Recorder keeps the newest events of one instance. Its exported fields are set before use.
type Recorder struct {
	Instance string
	Log      *logrus.Logger
	Now      func() time.Time
	Clock    *Clock // shared with the calls to other instances

	mu      sync.Mutex
	ring    []Event
	count   uint64
	counts  map[Code]uint64
	repeats repeats
}

// NewRecorder returns a recorder that logs to the given logger.
func NewRecorder(instance string, log *logrus.Logger) *Recorder {
	return &Recorder{Instance: instance, Log: log, Now: time.Now, Clock: NewClock(), counts: make(map[Code]uint64)}
}

// Record adds an event to the ring and writes it to the log.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	definition := Catalogue[e.Code]
	e.Name = definition.Name
	e.Time = r.Now()
	e.Instance = r.Instance
	r.mu.Lock()
	r.count++
	r.counts[e.Code]++
	e.Sequence = r.count
	e.Stamp = r.Clock.Next()
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
	} else {
		r.ring[(e.Sequence-1)%ringSize] = e
	}
	r.mu.Unlock()
	r.write(definition, e)
}

func (r *Recorder) write(definition Definition, e Event) {
	if r.Log == nil || !r.Log.IsLevelEnabled(definition.Level) {
		return
	}
	if e.Request != "" {
		// Each decision on a request has its line; the log's writer bounds their volume.
		r.entry(e).Log(definition.Level, definition.Message)
		return
	}
	logged, held := r.repeats.admit(e, e.Time)
	for key, n := range held {
		again := Event{Code: key.code, Name: Catalogue[key.code].Name, Account: key.account, Server: key.server, Detail: key.detail}
		r.entry(again).WithField("repeated", n).Log(Catalogue[key.code].Level, Catalogue[key.code].Message)
	}
	if logged {
		r.entry(e).Log(definition.Level, definition.Message)
	}
}

func (r *Recorder) entry(e Event) *logrus.Entry {
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

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.ring))
	if len(r.ring) < ringSize {
		return append(out, r.ring...)
	}
	start := r.count % ringSize
	out = append(out, r.ring[start:]...)
	return append(out, r.ring[:start]...)
}

// Counts returns how often each kind of event was recorded, also those that left the ring.
func (r *Recorder) Counts() map[Code]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
