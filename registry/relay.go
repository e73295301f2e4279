package registry

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// RPCName is the name under which the follower's methods are registered for other instances.
const RPCName = "Registry"

// FetchArgs asks an instance for everything newer than the caller has.
type FetchArgs struct {
	Config  platform.Version            // version of the configuration that the caller has
	Number  int64                       // number of that configuration
	Servers map[string]platform.Version // versions of the entries that the caller has, by id

	Evacuations map[string]platform.Version // versions of the statements that the caller has, by availability zone
}

// FetchReply carries the configuration and the entries that are newer than the caller has.
type FetchReply struct {
	Config  Entry
	Servers map[string]Entry
	Listed  bool // whether a complete list of the servers has been merged

	Evacuations       map[string]Evacuation // by availability zone
	EvacuationsListed platform.Version      // version of the newest complete list of them; 0 if none has been merged
}

// TellArgs tells a peer which version an instance has.
type TellArgs struct {
	Address string           // peer address of that instance
	Version platform.Version // newest version of the configuration and all entries
	Digest  uint64           // digest of the versions in force at that instance
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
		Servers: make(map[string]Entry), Listed: f.serversListed,
		Evacuations: f.newerEvacuations(args.Evacuations), EvacuationsListed: f.evacuations.listed,
	}
	if f.decodedConfig != nil && isNewerConfig(f.config.Version, f.decodedConfig.Version, args.Config, args.Number) {
		reply.Config = f.config
	}
	for id, e := range f.servers {
		if e.Version > args.Servers[id] {
			reply.Servers[id] = e
		}
	}
	return nil
}

// FetchIfNewer fetches in the background from a peer whose version is newer.
func (f *Follower) FetchIfNewer(address string, version platform.Version) {
	f.OnPeerVersion(version)
	if version > f.Version() {
		f.startFetch(address)
	}
}

// fetchIfDifferent fetches in the background from a peer with a newer version or another digest. The version alone is
// not enough: the removal of a server whose entry is missing after an outage leaves no newer version in the store.
func (f *Follower) fetchIfDifferent(args TellArgs) {
	f.OnPeerVersion(args.Version)
	if version, digest := f.versionAndDigest(); args.Version > version || args.Digest != digest {
		f.startFetch(args.Address)
	}
}

// startFetch fetches from a peer in the background, unless a fetch is running.
func (f *Follower) startFetch(address string) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.background.Go(func() {
		defer f.fetching.Store(false)
		f.fetchFrom(address)
	})
}

// Version returns the newest version of the configuration and all entries, or 0 until there is a view.
func (f *Follower) Version() platform.Version {
	version, _ := f.versionAndDigest()
	return version
}

// versionAndDigest returns the newest version and the digest, or zeros until there is a view.
func (f *Follower) versionAndDigest() (version platform.Version, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load() == nil {
		return 0, 0
	}
	return f.version, f.digest
}

// computeDigest returns a digest of the versions of the configuration, of the servers that are not gone and of the
// evacuations in force.
func (f *Follower) computeDigest() uint64 {
	sum := uint64(f.config.Version)
	for id, e := range f.servers {
		if e.Gone {
			continue
		}
		sum ^= hashVersion(id, e.Version)
	}
	for zone, e := range f.evacuations.zones {
		if !e.Ended {
			sum ^= hashVersion(platform.EvacuationKind+"/"+zone, e.Version)
		}
	}
	return sum
}

func hashVersion(name string, version platform.Version) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(name), uint64(version))) // never fails
	return h.Sum64()
}

// knownVersions returns the versions that this instance has, as arguments of Fetch.
func (f *Follower) knownVersions() FetchArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := FetchArgs{Config: f.config.Version, Servers: make(map[string]platform.Version, len(f.servers))}
	if f.decodedConfig != nil {
		args.Number = f.decodedConfig.Version
	}
	for id, e := range f.servers {
		args.Servers[id] = e.Version
	}
	if len(f.evacuations.zones) > 0 {
		args.Evacuations = make(map[string]platform.Version, len(f.evacuations.zones))
		for zone, e := range f.evacuations.zones {
			args.Evacuations[zone] = e.Version
		}
	}
	return args
}

// fetchFrom fetches and merges what is newer at a peer.
func (f *Follower) fetchFrom(address string) {
	ctx, stop := context.WithTimeout(context.Background(), fetchTimeout)
	defer stop()
	var reply FetchReply
	start := f.Now()
	if err := f.Call(ctx, address, RPCName+".Fetch", f.knownVersions(), &reply); err != nil {
		f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := reply.Listed && f.recordListed()
	changed = f.mergeFetchedEvacuations(reply.Evacuations, reply.EvacuationsListed) || changed
	if reply.Config.Version > 0 {
		source := fmt.Sprintf("%s in %v", address, f.Now().Sub(start).Round(time.Millisecond))
		changed = f.mergeConfig(reply.Config, source) || changed
	}
	for id, e := range reply.Servers {
		changed = f.mergeServer(id, e, false) || changed
	}
	if changed {
		f.rebuildView()
	}
}
