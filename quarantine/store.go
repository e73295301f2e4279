package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// The object of the platform store that keeps the evidence for instances that start after all others have ended.
const (
	ObjectKind = "quarantine"
	ObjectName = "evidence"
)

// Timing of the calls to the platform store.
const (
	saveSpread   = 200 * time.Millisecond // collects evidence, and spreads the writes of the instances
	storeRetry   = time.Second            // time between attempts, at first
	maxRetry     = 8 * time.Second
	storeTimeout = 2 * time.Second
	maxConflicts = 4 // attempts of one write while other instances write
)

// Stored is the evidence in the platform store. Its times are Unix milliseconds, since it outlasts the instances' clocks.
type Stored struct {
	Crashes   []StoredCrash    `json:"crashes"`
	Successes map[string]int64 `json:"successes"` // time of the newest success, by part
}

// StoredCrash is a Crash in the platform store.
type StoredCrash struct {
	Request string   `json:"request"`
	Server  string   `json:"server"`
	Account string   `json:"account"`
	Key     string   `json:"key"` // hash of the API key
	Parts   []string `json:"parts"`
	Begun   bool     `json:"begun"`   // whether the answer had begun
	Served  bool     `json:"served"`  // whether the server had answered the same request before
	Answers int      `json:"answers"` // to the same request, before the crash
	Ran     int64    `json:"ran"`     // milliseconds from the sending of the request to the crash
	At      int64    `json:"at"`
}

// stored returns the evidence as it is kept in the platform store.
func (l *List) stored() Stored {
	now := l.Now()
	out := Stored{Crashes: []StoredCrash{}, Successes: make(map[string]int64)}
	e := l.evidence()
	for _, c := range e.Crashes {
		out.Crashes = append(out.Crashes, StoredCrash{
			Request: c.Request, Server: c.Server, Account: c.Caller.Account, Key: c.Caller.Key, Parts: c.Parts, Begun: c.Begun, Served: c.Served,
			Answers: c.Answers, Ran: c.Ran.Milliseconds(), At: now.Add(-c.Age).UnixMilli(),
		})
	}
	for _, s := range e.Successes {
		out.Successes[s.Part] = now.Add(-s.Age).UnixMilli()
	}
	return out
}

// evidence converts stored evidence to ages. The time of day may have been set back since it was stored.
func (s Stored) evidence(now time.Time) Evidence {
	age := func(at int64) time.Duration { return max(time.Duration(now.UnixMilli()-at)*time.Millisecond, 0) }
	var e Evidence
	for _, c := range s.Crashes {
		e.Crashes = append(e.Crashes, CrashReport{
			Request: c.Request, Server: c.Server, Caller: Caller{c.Account, c.Key}, Parts: c.Parts, Begun: c.Begun, Served: c.Served,
			Answers: c.Answers, Ran: time.Duration(c.Ran) * time.Millisecond, Age: age(c.At),
		})
	}
	for part, at := range s.Successes {
		e.Successes = append(e.Successes, SuccessReport{part, age(at)})
	}
	return e
}

// SaveAgain writes the evidence to the platform store again, as after a restore of the store.
func (l *List) SaveAgain() {
	if l.Count() > 0 {
		l.requestSave()
	}
}

// requestSave has the evidence written to the platform store soon.
func (l *List) requestSave() {
	select {
	case l.unsaved <- struct{}{}:
	default: // a write is due already
	}
}

// keepStored reads the evidence in the platform store once, and writes it when this instance has added to it, until the
// context ends.
func (l *List) keepStored(ctx context.Context) {
	if l.Get == nil {
		return
	}
	l.retry(ctx, func(ctx context.Context) error {
		_, _, err := l.load(ctx)
		return err
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.unsaved:
		}
		if delay.For(ctx, saveSpread+rand.N(saveSpread)) != nil {
			return
		}
		l.retry(ctx, l.save)
	}
}

// retry calls the platform store until the call succeeds or the context ends, less and less often.
func (l *List) retry(ctx context.Context, call func(context.Context) error) {
	for pause := storeRetry; ; pause = min(2*pause, maxRetry) {
		attempt, stop := context.WithTimeout(ctx, storeTimeout)
		err := call(attempt)
		stop()
		if err == nil || ctx.Err() != nil {
			return
		}
		l.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
		if delay.For(ctx, pause) != nil {
			return
		}
	}
}

// load merges the evidence in the platform store, and returns its version and whether it has all that is known here.
func (l *List) load(ctx context.Context) (platform.Version, bool, error) {
	object, err := l.Get(ctx, ObjectKind, ObjectName)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, l.Digest() == 0, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("quarantine: unable to read the evidence: %w", err)
	}
	stored, ok := l.decode(object)
	if !ok {
		return object.Version, false, nil
	}
	known := newLedger()
	now := l.Now()
	crashes, successes := stored.evidence(now).local(now)
	for _, c := range crashes {
		known.addCrash(now, c)
	}
	for _, s := range successes {
		known.addSuccess(s)
	}
	l.merge(crashes, successes, false)
	return object.Version, known.digests().Sum() == l.Digest(), nil
}

// decode decodes the evidence in the platform store. If that fails, the next write replaces it.
func (l *List) decode(object platform.Object) (Stored, bool) {
	var stored Stored
	err := json.Unmarshal(object.Data, &stored)
	if err != nil {
		l.Record(event.Event{Code: event.QuarantineUnreadable, Detail: err.Error()})
	}
	return stored, err == nil
}

// save writes the evidence to the platform store, unless the store has it. Other instances may write at the same time.
func (l *List) save(ctx context.Context) error {
	var err error
	for range maxConflicts {
		version, complete, loadErr := l.load(ctx)
		if loadErr != nil || complete {
			return loadErr
		}
		_, err = l.Update(ctx, ObjectKind, ObjectName, version, l.stored())
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("quarantine: unable to write the evidence: %w", err)
	}
	return nil
}
