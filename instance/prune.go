package instance

import (
	"context"
	"encoding/json"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// Times of the removal of entries.
const (
	entryPruneInterval = 5 * time.Second
	minGoneTime        = 10 * time.Second // an instance that only restarts is back by then
)

// entryPruner removes the store's entries of instances that are gone, so that those that start later do not call them.
// Nothing in the store ends by itself.
type entryPruner struct{ instance *Instance }

// Serve removes entries until the context ends, while this instance is the oldest.
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

// remove deletes an entry if it is still that of the incarnation that is gone.
func (p *entryPruner) remove(ctx context.Context, name string, incarnation uint64) {
	o, err := p.instance.platform.Get(ctx, platform.InstanceKind, name)
	var entry platform.Instance
	if err == nil {
		err = json.Unmarshal(o.Data, &entry)
	}
	if err != nil || entry.Incarnation > incarnation {
		return // it is removed already, unreadable, back, or the store is away: then the next round decides
	}
	if err := p.instance.platform.Delete(ctx, platform.InstanceKind, name, o.Version); err != nil {
		p.instance.events.Record(event.Event{Code: event.InstanceEntryRemovalFailed, Server: name, Detail: err.Error()})
		return
	}
	p.instance.events.Record(event.Event{Code: event.InstanceEntryRemoved, Server: name})
}
