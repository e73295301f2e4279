package registry

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
)

// RPCName is the name under which the follower's methods are registered for other instances.
const RPCName = "Registry"

// FetchArgs asks for what is newer at an instance.
type FetchArgs struct {
	Config  uint64            // version that the caller knows
	Servers map[string]uint64 // versions that the caller knows, by id
}

// FetchReply is what the caller does not know.
type FetchReply struct {
	Config  Entry
	Servers map[string]Entry
	Listed  bool
}

// TellArgs says what an instance knows.
type TellArgs struct {
	Address string // of that instance
	Version uint64 // the newest
	Digest  uint64 // of all that it knows
	Sighted bool   // whether it has just seen the store itself
}

// TellReply answers TellArgs.
type TellReply struct{}

// Timing of telling peers.
const (
	tellDelay   = 100 * time.Millisecond // entries change in groups
	tellTimeout = 500 * time.Millisecond
	maxTold     = 8 // peers; each that learns something tells others in turn
)

// tellPeers tells some peers of what is newer here, until the context ends.
func (f *Follower) tellPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		}
		if delay.For(ctx, tellDelay) != nil {
			return
		}
		peers := f.Peers()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		f.tell(ctx, peers[:min(len(peers), maxTold)], false)
	}
}

// tell tells peers in the background.
func (f *Follower) tell(ctx context.Context, peers []string, sighted bool) {
	version, digest := f.newest()
	args := TellArgs{Address: f.Self, Version: version, Digest: digest, Sighted: sighted}
	for _, address := range peers {
		f.calls.Go(func() {
			ctx, stop := context.WithTimeout(ctx, tellTimeout)
			defer stop()
			if err := f.Call(ctx, address, RPCName+".Tell", args, &TellReply{}); err != nil && ctx.Err() == nil {
				f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
			}
		})
	}
}

// Tell hears of a version that a peer knows.
func (r *Receiver) Tell(args TellArgs, _ *TellReply) error {
	if args.Sighted {
		r.follower.sees()
	}
	r.follower.compare(args)
	return nil
}

// Receiver answers calls of other instances.
type Receiver struct{ follower *Follower }

// Receiver returns what is to be registered under RPCName.
func (f *Follower) Receiver() *Receiver { return &Receiver{f} }

// Fetch answers with what the caller does not know.
func (r *Receiver) Fetch(args FetchArgs, reply *FetchReply) error {
	f := r.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	*reply = FetchReply{Servers: make(map[string]Entry), Listed: f.listed}
	if f.config.Version > args.Config {
		reply.Config = f.config
	}
	for id, e := range f.servers {
		if e.Version > args.Servers[id] {
			reply.Servers[id] = e
		}
	}
	return nil
}

// FetchIfNewer fetches from a peer that knows a newer version; it returns at once.
func (f *Follower) FetchIfNewer(address string, version uint64) {
	if version > f.Version() {
		f.startFetch(address)
	}
}

// compare fetches from a peer that knows something else. The newest version alone does not show it: a server that is
// dropped because its entry is missing after an outage leaves no newer one.
func (f *Follower) compare(args TellArgs) {
	if version, digest := f.newest(); args.Version > version || args.Digest != digest {
		f.startFetch(args.Address)
	}
}

func (f *Follower) startFetch(address string) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.calls.Go(func() {
		defer f.fetching.Store(false)
		f.fetch(address)
	})
}

// Version returns the newest version of anything known, 0 before all is known.
func (f *Follower) Version() uint64 {
	version, _ := f.newest()
	return version
}

// newest returns the newest version and the digest of what is known, zeros before all is known.
func (f *Follower) newest() (version, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load() == nil {
		return 0, 0
	}
	return f.version, f.digest
}

// digestOf joins the versions of the configuration and of the servers that are not gone.
func (f *Follower) digestOf() uint64 {
	sum := f.config.Version
	for id, e := range f.servers {
		if e.Gone {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(id), e.Version)) // never fails
		sum ^= h.Sum64()
	}
	return sum
}

// known returns the versions that are known here.
func (f *Follower) known() FetchArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := FetchArgs{Config: f.config.Version, Servers: make(map[string]uint64, len(f.servers))}
	for id, e := range f.servers {
		args.Servers[id] = e.Version
	}
	return args
}

func (f *Follower) fetch(address string) {
	ctx, stop := context.WithTimeout(context.Background(), fetchTimeout)
	defer stop()
	var reply FetchReply
	if err := f.Call(ctx, address, RPCName+".Fetch", f.known(), &reply); err != nil {
		f.Record(event.Event{Code: event.RelayFailed, Detail: address + ": " + err.Error()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := reply.Listed && !f.listed
	f.listed = f.listed || reply.Listed
	if reply.Config.Version > 0 {
		changed = f.takeConfig(reply.Config) || changed
	}
	for id, e := range reply.Servers {
		changed = f.takeServer(id, e, false) || changed
	}
	if changed {
		f.rebuild()
	}
}
