package registry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/gossip"
	"teaselgate/platform"
)

// RPCName is the name under which the follower's methods are registered for other instances.
const RPCName = "Registry"

// FetchArgs asks an instance for everything newer than the caller has.
type FetchArgs struct {
	Config platform.Version // version of the configuration that the caller has or fetches
	Number int64            // number of that configuration
	Since  platform.Version // newest version of the entries that the caller has

	// Digests has the caller's digests if it may lack older entries, too; the reply then has all entries of the groups that
	// differ, from Since on.
	Digests []uint64

	Evacuations map[string]platform.Version // versions of the statements that the caller has, by availability zone
}

// FetchReply carries the entries that are newer than the caller has, oldest first, and the outline of a newer configuration.
type FetchReply struct {
	Config  ConfigOutline
	Servers []NamedEntry
	More    bool             // whether there are further entries, with later versions
	Version platform.Version // newest version of the entries at the replier
	Digest  uint64           // digest of the entries in force at the replier
	Listed  bool             // whether a complete list of the servers has been merged

	Evacuations       map[string]Evacuation // by availability zone
	EvacuationsListed platform.Version      // version of the newest complete list of them; 0 if none has been merged
}

// NamedEntry is the entry of a server.
type NamedEntry struct {
	ID string
	Entry
}

// TellArgs tells a peer which version an instance has.
type TellArgs struct {
	Address string           // peer address of that instance
	Version platform.Version // newest version of the configuration and all entries
	Digest  uint64           // digest of the entries in force at that instance
	Config  platform.Version // version of the newest configuration that it has or fetches
	Number  int64            // number of that configuration
	Sighted bool             // whether it has just had contact with the store
}

// TellReply is the empty reply to TellArgs.
type TellReply struct{}

// Timing and fan-out of notifications to peers.
const (
	notifyDelay      = 100 * time.Millisecond // collects changes, since entries change in groups
	notifyTimeout    = 500 * time.Millisecond
	maxNotifiedPeers = 8 // number of peers notified at once; each that gets something new notifies others in turn
	maxNotifiedNear  = 6 // number of those in the same availability zone; most bytes then stay inside the zones
)

// notifyPeers notifies some peers after each change, until the context ends.
func (f *Follower) notifyPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.configNews:
			f.notify(ctx, f.pickNotified(), false) // at once, since who hears of it can fetch parts and give them to others
			continue
		case <-f.peersOutdated:
		}
		if delay.For(ctx, notifyDelay) != nil {
			return
		}
		f.notify(ctx, f.pickNotified(), false)
	}
}

// pickNotified picks random peers to notify, most of them near ones.
func (f *Follower) pickNotified() []string {
	near, peers := f.NearPeers(), f.Peers()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	out := near[:min(len(near), maxNotifiedNear)]
	for _, address := range peers {
		if len(out) < maxNotifiedPeers && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// notify tells peers in the background which version this instance has, and whether it has just reached the store.
func (f *Follower) notify(ctx context.Context, peers []string, storeContact bool) {
	version, digest := f.versionAndDigest()
	args := TellArgs{Address: f.Self, Version: version, Digest: digest, Sighted: storeContact}
	f.mu.Lock()
	args.Config, args.Number = f.newestConfig()
	f.mu.Unlock()
	for _, address := range peers {
		f.background.Go(func() {
			ctx, stop := context.WithTimeout(ctx, notifyTimeout)
			defer stop()
			if err := f.Call(ctx, address, RPCName+".Tell", args, &TellReply{}); err != nil && ctx.Err() == nil {
				f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
			}
		})
	}
}

// Tell handles the notification of a peer.
func (r *Receiver) Tell(args TellArgs, _ *TellReply) error {
	if args.Sighted {
		r.follower.recordStoreContact()
	}
	r.follower.fetchIfDifferent(args)
	return nil
}

// Receiver serves the RPC methods of a Follower.
type Receiver struct{ follower *Follower }

// Receiver returns the net/rpc receiver to register under RPCName.
func (f *Follower) Receiver() *Receiver { return &Receiver{f} }

// Fetch replies with everything newer than the caller has.
func (r *Receiver) Fetch(args FetchArgs, reply *FetchReply) error {
	f := r.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	*reply = FetchReply{
		Config: f.newerConfig(args.Config, args.Number), Version: f.entriesVersion, Digest: f.digests.Sum(), Listed: f.serversListed,
		Evacuations: f.newerEvacuations(args.Evacuations), EvacuationsListed: f.evacuations.listed,
	}
	reply.Servers, reply.More = f.entriesSince(args.Since, args.Digests)
	return nil
}

// entriesSince returns entries that are newer than a version, oldest first, and whether there are more. With digests, only
// those of the groups that differ. The caller holds the lock.
func (f *Follower) entriesSince(since platform.Version, other []uint64) (out []NamedEntry, more bool) {
	differ := f.digests.Differing(other)
	for id, e := range f.servers {
		if e.Version > since && differ[groupOf(id)] {
			out = append(out, NamedEntry{id, e})
		}
	}
	slices.SortFunc(out, func(a, b NamedEntry) int { return cmp.Compare(a.Version, b.Version) })
	size := 0
	for n, e := range out {
		// Entries of one version stay together, since the next request begins after a version.
		if size >= gossip.PageBytes && e.Version != out[n-1].Version {
			return out[:n], true
		}
		size += len(e.ID) + len(e.Data)
	}
	return out, false
}

// FetchIfNewer fetches in the background from a peer whose version is newer.
func (f *Follower) FetchIfNewer(address string, version platform.Version) {
	f.OnPeerVersion(version)
	if version > f.knownVersion() {
		f.startFetch(address)
	}
}

// knownVersion returns the newest version of the entries and of the configurations that this instance has or fetches.
func (f *Follower) knownVersion() platform.Version {
	version := f.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted != nil {
		return max(version, f.wanted.Version)
	}
	return version
}

// fetchIfDifferent fetches in the background from a peer with a newer version or another digest. The version alone is
// not enough: the removal of a server whose entry is missing after an outage leaves no newer version in the store.
func (f *Follower) fetchIfDifferent(args TellArgs) {
	f.OnPeerVersion(args.Version)
	if f.lacksConfig(args) || args.Version > f.knownVersion() {
		f.startFetch(args.Address)
		return
	}
	if _, digest := f.versionAndDigest(); args.Digest != digest {
		f.startFetch(args.Address)
	}
}

// lacksConfig reports whether a peer has or fetches a newer configuration than this instance. If both fetch the same, the peer
// becomes a source of its parts.
func (f *Follower) lacksConfig(args TellArgs) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted != nil && args.Config == f.wanted.Version {
		f.wanted.fetch.Add(args.Address)
		return false
	}
	version, number := f.newestConfig()
	return args.Config > 0 && isNewerConfig(args.Config, args.Number, version, number)
}

// maxFetches is the number of peers from which entries are fetched at once. One of them may be silent.
const maxFetches = 3

// startFetch fetches from a peer in the background, unless such a fetch or too many others are running.
func (f *Follower) startFetch(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching[address] || len(f.fetching) >= maxFetches {
		return
	}
	f.fetching[address] = true
	f.background.Go(func() {
		f.fetchFrom(address)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.fetching, address)
	})
}

// Version returns the newest version of the configuration and all entries, or 0 until there is a view.
func (f *Follower) Version() platform.Version {
	version, _ := f.versionAndDigest()
	return version
}

// versionAndDigest returns the newest version and the digest of the entries, or zeros until there is a view.
func (f *Follower) versionAndDigest() (version platform.Version, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load() == nil {
		return 0, 0
	}
	return f.version, f.digests.Sum()
}

// fetchArgs returns what this instance has, as arguments of Fetch.
func (f *Follower) fetchArgs() FetchArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := FetchArgs{Since: f.entriesVersion}
	args.Config, args.Number = f.newestConfig()
	if len(f.evacuations.zones) > 0 {
		args.Evacuations = make(map[string]platform.Version, len(f.evacuations.zones))
		for zone, e := range f.evacuations.zones {
			args.Evacuations[zone] = e.Version
		}
	}
	return args
}

// fetchFrom fetches and merges what is newer at a peer. If the two differ all the same although the peer is not behind, it
// compares all entries.
func (f *Follower) fetchFrom(address string) {
	reply, ok := f.fetchPages(address, f.fetchArgs())
	if !ok {
		return
	}
	f.mu.Lock()
	own, version := f.computeDigests(), f.entriesVersion
	f.mu.Unlock()
	if reply.Digest == own.Sum() || reply.Version < version {
		return
	}
	args := f.fetchArgs()
	args.Since, args.Digests = 0, own[:]
	f.fetchPages(address, args)
}

// fetchPages fetches and merges the pages of a reply, and returns the last one.
func (f *Follower) fetchPages(address string, args FetchArgs) (FetchReply, bool) {
	for {
		ctx, stop := context.WithTimeout(context.Background(), fetchTimeout)
		var reply FetchReply
		err := f.Call(ctx, address, RPCName+".Fetch", args, &reply)
		stop()
		if err != nil {
			f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
			return FetchReply{}, false
		}
		if reply.Config.Version > 0 {
			f.want(reply.Config, address)
			args.Config, args.Number = reply.Config.Version, reply.Config.Number
		}
		f.mergeReply(reply)
		if !reply.More || len(reply.Servers) == 0 {
			return reply, true
		}
		args.Since = reply.Servers[len(reply.Servers)-1].Version
	}
}

// mergeReply merges a page of entries of a peer.
func (f *Follower) mergeReply(reply FetchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := reply.Listed && !reply.More && f.recordListed()
	changed = f.mergeFetchedEvacuations(reply.Evacuations, reply.EvacuationsListed) || changed
	for _, e := range reply.Servers {
		changed = f.mergeServer(e.ID, e.Entry, false) || changed
	}
	if changed {
		f.rebuildView()
	}
}
