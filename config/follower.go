package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/rule"
)

const retryDelay = 500 * time.Millisecond

// Follower puts each newer revision in force. Its exported fields are set before Serve.
type Follower struct {
	Platform *platform.Client
	Record   func(event.Event)

	current atomic.Pointer[Revision]
}

// Current returns the revision in force, or nil before the first one.
func (f *Follower) Current() *Revision { return f.current.Load() }

// Rules returns the rules in force; it is empty before the first revision.
func (f *Follower) Rules() *rule.Set {
	if r := f.current.Load(); r != nil {
		return r.Rules
	}
	return &rule.Set{}
}

// Serve follows the platform's head until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	var seen uint64
	for ctx.Err() == nil {
		version, err := f.step(ctx, seen)
		if err != nil {
			f.Record(event.Event{Code: event.PlatformLost, Detail: err.Error()})
			pause(ctx, retryDelay)
			continue
		}
		seen = version
	}
	return ctx.Err()
}

func (f *Follower) step(ctx context.Context, seen uint64) (uint64, error) {
	if f.Current() == nil {
		_, head, err := readHead(ctx, f.Platform)
		if err != nil {
			return seen, err
		}
		if err := f.adopt(ctx, head); err != nil {
			return seen, err
		}
	}
	list, err := f.Platform.Watch(ctx, HeadKind, seen)
	if err != nil {
		return seen, err
	}
	for _, o := range list.Objects {
		var head Head
		if err := json.Unmarshal(o.Data, &head); err != nil {
			return seen, fmt.Errorf("config: unable to decode the head: %w", err)
		}
		if err := f.adopt(ctx, head); err != nil {
			return seen, err
		}
	}
	return list.Version, nil
}

// adopt puts a revision in force unless a newer one already is.
func (f *Follower) adopt(ctx context.Context, head Head) error {
	if old := f.Current(); head.Revision == 0 || old != nil && head.Revision <= old.Number {
		return nil
	}
	var text strings.Builder
	for _, name := range head.Parts {
		o, err := f.Platform.Get(ctx, PartKind, name)
		if err != nil {
			return err
		}
		var part Part
		if err := json.Unmarshal(o.Data, &part); err != nil {
			return fmt.Errorf("config: unable to decode part %s: %w", name, err)
		}
		text.WriteString(part.Text)
	}
	set, problems := rule.Parse("revision", []byte(text.String()))
	if len(problems) > 0 {
		f.Record(event.Event{Code: event.RulesRejected, Detail: problems[0].Error()})
		return nil
	}
	f.current.Store(&Revision{Number: head.Revision, Rules: set})
	f.Record(event.Event{Code: event.RulesInForce, Detail: fmt.Sprintf("revision %d", head.Revision)})
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
