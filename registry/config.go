package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/transfer"
)

// config is a configuration with its decoded form and its parts.
type config struct {
	version  platform.Version
	decoded  *platform.Configuration
	document *transfer.Document
	size     int // in bytes
}

// ConfigOutline describes a configuration that an instance has or fetches.
type ConfigOutline struct {
	Version platform.Version // 0 for none
	Number  int64            // number of the configuration
	Outline transfer.Outline
}

// configTransfer is a configuration that is to be fetched from other instances.
type configTransfer struct {
	ConfigOutline
	fetch   *transfer.Fetch
	heardAt time.Time // when this instance heard of it
	cancel  context.CancelFunc
}

// decodeListed decodes the configurations of a list that may be newer than the one in force. It takes long for large ones, so
// the caller does not hold the lock.
func (f *Follower) decodeListed(list platform.List) []config {
	var out []config
	for _, o := range list.Objects {
		if o.Name != platform.ConfigurationName || o.Deleted {
			continue
		}
		if c, ok := f.decodeConfig(o.Version, o.Data, nil); ok {
			out = append(out, c)
		}
	}
	return out
}

// decodeConfig decodes a configuration that may be newer than the one in force, and reports whether it is and is valid. The
// caller does not hold the lock. A nil document is made from data.
func (f *Follower) decodeConfig(v platform.Version, data []byte, document *transfer.Document) (config, bool) {
	f.mu.Lock()
	known := v == f.config || v < f.config && v.Era() == f.config.Era()
	f.mu.Unlock()
	if known {
		return config{}, false
	}
	c, err := platform.ReadConfiguration(data)
	if err != nil {
		f.Record(event.Event{Code: event.RulesRejected, Detail: fmt.Sprintf("version %v: %v", v, err)})
		return config{}, false
	}
	if document == nil {
		document = transfer.NewDocument(data)
	}
	return config{version: v, decoded: c, document: document, size: len(data)}, true
}

// mergeConfig stores a configuration from a source, which the log names, if it is newer than the known one, and reports
// whether it did. The caller holds the lock.
func (f *Follower) mergeConfig(c config, source string) bool {
	if c.version == f.config || c.version < f.config && c.version.Era() == f.config.Era() {
		return false
	}
	if !f.supersedesConfig(c.version, c.decoded.Version) {
		f.recordOutdatedConfig(c.version, c.decoded.Version)
		return false
	}
	isNew := f.decodedConfig == nil || c.decoded.Version != f.decodedConfig.Version
	f.config, f.decodedConfig = c.version, c.decoded
	f.version = max(f.version, c.version)
	f.offer.SetWhole(c.document)
	if f.wanted != nil && !f.supersedesConfig(f.wanted.Version, f.wanted.Number) {
		f.wanted.cancel()
		f.wanted = nil
	}
	signal(f.configNews)
	if isNew {
		f.Record(event.Event{
			Code: event.RulesApplied,
			Detail: fmt.Sprintf("configuration %d, version %v, %d bytes from %s, priorities %s",
				c.decoded.Version, c.version, c.size, source, describePriorities(c.decoded)),
		})
	}
	return true
}

// describePriorities returns the priorities that accounts and routes have, for the log.
func describePriorities(c *platform.Configuration) string {
	accounts, routes := make(map[int]bool), make(map[int]bool)
	for _, a := range c.Accounts {
		accounts[a.Priority] = true
	}
	for _, r := range c.Routes {
		routes[r.Priority] = true
	}
	return fmt.Sprintf("of accounts %v, of routes %v", slices.Sorted(maps.Keys(accounts)), slices.Sorted(maps.Keys(routes)))
}

// newestConfig returns the version and number of the newest configuration that this instance has or fetches. The caller holds
// the lock.
func (f *Follower) newestConfig() (platform.Version, int64) {
	if f.wanted != nil {
		return f.wanted.Version, f.wanted.Number
	}
	if f.decodedConfig != nil {
		return f.config, f.decodedConfig.Version
	}
	return 0, 0
}

// newerConfig returns the outline of the newest configuration that this instance has or fetches, if it is newer than another.
// The caller holds the lock.
func (f *Follower) newerConfig(v platform.Version, number int64) ConfigOutline {
	newest, newestNumber := f.newestConfig()
	if newest == 0 || !isNewerConfig(newest, newestNumber, v, number) {
		return ConfigOutline{}
	}
	if f.wanted != nil {
		return f.wanted.ConfigOutline
	}
	return ConfigOutline{Version: newest, Number: newestNumber, Outline: f.offer.Whole().Outline()}
}

// want has a configuration fetched that a peer has or fetches, if it is newer than what this instance has or fetches. It
// replaces an older one.
func (f *Follower) want(c ConfigOutline, address string) {
	if err := c.Outline.Check(); err != nil {
		f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.wanted != nil && f.wanted.Version == c.Version:
		f.wanted.fetch.Add(address)
		return
	case f.wanted != nil && !isNewerConfig(c.Version, c.Number, f.wanted.Version, f.wanted.Number):
		return
	case !f.supersedesConfig(c.Version, c.Number):
		f.recordOutdatedConfig(c.Version, c.Number)
		return
	}
	if f.wanted != nil {
		f.wanted.cancel()
	}
	f.wanted = &configTransfer{ConfigOutline: c, fetch: f.newFetch(c.Outline), heardAt: f.Now(), cancel: func() {}}
	f.wanted.fetch.Add(address)
	signal(f.configWanted)
	signal(f.configNews)
}

// newFetch returns a fetch of a configuration from other instances.
func (f *Follower) newFetch(outline transfer.Outline) *transfer.Fetch {
	near := make(map[string]bool)
	for _, address := range f.NearPeers() {
		near[address] = true
	}
	fetch := transfer.NewFetch(outline)
	fetch.Offer, fetch.Self, fetch.Now = f.offer, f.Self, f.Now
	fetch.Near = func(address string) bool { return near[address] }
	fetch.Search = func() string {
		if peers := f.pickNotified(); len(peers) > 0 {
			return peers[0]
		}
		return ""
	}
	fetch.Failed = func(address string, err error) {
		f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
	}
	fetch.Ask = func(ctx context.Context, address string, args transfer.Args) (transfer.Reply, error) {
		var reply transfer.Reply
		err := f.Call(ctx, address, RPCName+".Parts", args, &reply)
		return reply, err
	}
	return fetch
}

// fetchConfigs fetches the configurations that are wanted, until the context ends.
func (f *Follower) fetchConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.configWanted:
		}
		f.mu.Lock()
		wanted := f.wanted
		fetchCtx, cancel := context.WithCancel(ctx)
		if wanted != nil {
			wanted.cancel = cancel
		}
		f.mu.Unlock()
		if wanted != nil {
			f.fetchConfig(fetchCtx, wanted)
		}
		cancel()
	}
}

// fetchConfig fetches a configuration and merges it. The context ends when the configuration is no longer wanted.
func (f *Follower) fetchConfig(ctx context.Context, t *configTransfer) {
	document, data, err := t.fetch.Run(ctx)
	if err == nil {
		if c, ok := f.decodeConfig(t.Version, data, document); ok {
			f.mu.Lock()
			if f.mergeConfig(c, f.describeTransfer(t)) {
				f.rebuildView()
			}
			f.mu.Unlock()
		}
	} else if ctx.Err() == nil {
		f.Record(event.Event{Code: event.RelayFailed, Detail: fmt.Sprintf("version %v of the configuration: %v", t.Version, err)})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted == t {
		f.wanted = nil // a peer that has it will say so again
	}
}

// describeTransfer says what a transfer has cost, for the log.
func (f *Follower) describeTransfer(t *configTransfer) string {
	stats := t.fetch.Stats()
	return fmt.Sprintf("%d peers (%d bytes in %d requests, %d of them failed, %v after it was heard of)",
		len(stats.Sources), stats.Bytes, stats.Requests, stats.Failures, f.Now().Sub(t.heardAt).Round(time.Millisecond))
}

// Progress is the state of the fetch of a configuration from other instances.
type Progress struct {
	Number  int64 // number of the configuration
	Parts   int
	Missing int
	HeardAt time.Time // when this instance heard of it
}

// Progress returns the state of the fetch that is running, and false if there is none.
func (f *Follower) Progress() (Progress, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted == nil {
		return Progress{}, false
	}
	outline := f.wanted.Outline
	return Progress{f.wanted.Number, outline.Len(), f.offer.Missing(outline.Sum), f.wanted.heardAt}, true
}

// Parts replies with parts of a configuration. The caller fetches it, and so is a source of its parts.
func (r *Receiver) Parts(args transfer.Args, reply *transfer.Reply) error {
	*reply = r.follower.offer.Give(args)
	r.follower.addSource(args)
	return nil
}

// addSource adds the sender of a request for parts to the sources of the same configuration.
func (f *Follower) addSource(args transfer.Args) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted != nil && f.wanted.fetch.Sum() == args.Sum {
		f.wanted.fetch.Add(args.Address)
	}
}
