package instance

import (
	"context"
	"encoding/json"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// Times for the removal of the entries of gone instances.
const (
	entryPruneInterval = 5 * time.Second
	minGoneTime        = 10 * time.Second // time that an instance must have been gone; longer than a restart takes
)

// entryPruner deletes the entries of gone instances from the platform store, so that instances that start later do not
// call them. Entries in the store do not expire.
type entryPruner struct{ instance *Instance }

// Serve removes entries at intervals until the context ends. Only the live instance that started first removes them.
func (p *entryPruner) Serve(ctx context.Context) error {
	for {
		if err := delay.For(ctx, entryPruneInterval); err != nil {
			return err
		}
		if p.instance.startRank() > 0 {
			continue
		}
		for _, m := range p.instance.fleet.GoneFor(minGoneTime) {
			p.remove(ctx, m.Name, m.Incarnation)
		}
	}
}

// remove deletes an instance's entry, unless a newer incarnation has written it.
func (p *entryPruner) remove(ctx context.Context, name string, incarnation uint64) {
	o, err := p.instance.platform.Get(ctx, platform.InstanceKind, name)
	var entry platform.Instance
	if err == nil {
		err = json.Unmarshal(o.Data, &entry)
	}
	if err != nil || entry.Incarnation > incarnation {
		return // already removed, unreadable, rewritten, or the store is unavailable: the next round retries
	}
	if err := p.instance.platform.Delete(ctx, platform.InstanceKind, name, o.Version); err != nil {
		p.instance.events.Record(event.Event{Code: event.InstanceEntryRemovalFailed, Server: name, Detail: err.Error()})
		return
	}
	p.instance.events.Record(event.Event{Code: event.InstanceEntryRemoved, Server: name})
}
