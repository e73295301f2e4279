package config

import (
	"context"
	"sync"
	"time"

	"teaselgate/delay"
)

// RPCName is the name under which the RPC methods for peers are registered.
const RPCName = "Config"

const peerCallTimeout = 3 * time.Second

// AfterArgs are the arguments of Receiver.After.
type AfterArgs struct {
	Revision uint64 // number of the revision in force at the caller, 0 if there is none
}

// AfterReply is the reply of Receiver.After.
type AfterReply struct {
	Ready bool // whether a revision is in force at the callee
	Head  Head // head of that revision; its log holds the steps after the caller's revision, or all it has
}

// PartArgs are the arguments of Receiver.Part.
type PartArgs struct {
	Name string // name of a part of the revision in force at the callee
}

// PartReply is the reply of Receiver.Part.
type PartReply struct {
	Part StoredPart
}

// Receiver holds the RPC methods that peers call.
type Receiver struct{ follower *Follower }

// Receiver returns the RPC receiver to register under RPCName.
func (f *Follower) Receiver() *Receiver { return &Receiver{f} }

// After returns the head of the revision in force, without its retired parts.
func (r *Receiver) After(args AfterArgs, reply *AfterReply) error {
	current := r.follower.Current()
	if current == nil {
		return nil
	}
	reply.Ready = true
	reply.Head = current.head
	reply.Head.Retired = nil
	if steps, ok := current.head.stepsSince(args.Revision); ok && args.Revision > 0 {
		reply.Head.Log = steps
	}
	return nil
}

// Part returns a part of the revision in force.
func (r *Receiver) Part(args PartArgs, reply *PartReply) error {
	current := r.follower.Current()
	if current == nil {
		return stale.New("config: no revision is in force")
	}
	var err error
	reply.Part, err = current.encodePart(args.Name)
	return err
}

// peerRevision is the number of a newer revision that a peer reported.
type peerRevision struct {
	address  string
	revision uint64
}

// HandlePeerRevision queues a fetch from a peer that reported a revision, if that is newer than the one in force. It
// does not block. It does nothing while another fetch is queued, or before the first revision is in force.
func (f *Follower) HandlePeerRevision(address string, revision uint64) {
	if current := f.Current(); current == nil || current.Number >= revision {
		return
	}
	select {
	case f.peerRevisions <- peerRevision{address, revision}:
	default:
	}
}

// relayLoop fetches the newer revisions that peers reported.
func (f *Follower) relayLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case reported := <-f.peerRevisions:
			if f.Current().Number < reported.revision {
				_ = f.adoptFromPeer(ctx, reported.address)
			}
		}
	}
}

// adoptFromPeer fetches a peer's revision and puts it in force. A failure is retried when the peer's next heartbeat
// reports the revision again.
func (f *Follower) adoptFromPeer(ctx context.Context, address string) error {
	reply, err := f.requestHead(ctx, address)
	if err != nil || !reply.Ready {
		return err
	}
	return f.adopt(ctx, reply.Head, f.newPeerPartReader(address))
}

// requestHead calls After at a peer.
func (f *Follower) requestHead(ctx context.Context, address string) (AfterReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var args AfterArgs
	if current := f.Current(); current != nil {
		args.Revision = current.Number
	}
	var reply AfterReply
	err := f.Call(ctx, address, RPCName+".After", args, &reply)
	return reply, err
}

// newPeerPartReader returns a reader of a peer's parts.
func (f *Follower) newPeerPartReader(address string) partReader {
	return func(ctx context.Context, name string) (StoredPart, error) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		var reply PartReply
		err := f.Call(ctx, address, RPCName+".Part", PartArgs{name}, &reply)
		return reply.Part, err
	}
}

// loadInitialRevision puts the first revision in force: the platform's, or else the highest among the known peers. It
// retries until the platform responds or at least half of the known peers return a revision.
func (f *Follower) loadInitialRevision(ctx context.Context) error {
	for ctx.Err() == nil && f.Current() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			break
		}
		f.recordPlatformFailure(ctx, err)
		if f.loadInitialRevisionFromPeers(ctx) {
			break
		}
		_ = delay.For(ctx, retryDelay)
	}
	return ctx.Err()
}

// loadInitialRevisionFromPeers asks all known peers at once, waits for all calls to end and puts the highest revision
// in force. It reports false if fewer than half of the peers have a revision or the highest can't be loaded.
func (f *Follower) loadInitialRevisionFromPeers(ctx context.Context) bool {
	peers := f.Peers()
	replies := make([]AfterReply, len(peers))
	var calls sync.WaitGroup
	for i, address := range peers {
		calls.Go(func() { replies[i], _ = f.requestHead(ctx, address) })
	}
	calls.Wait()
	ready, best := 0, -1
	for i, r := range replies {
		if !r.Ready {
			continue
		}
		ready++
		if best < 0 || r.Head.Revision > replies[best].Head.Revision {
			best = i
		}
	}
	if best < 0 || 2*ready < len(peers) {
		return false
	}
	return f.adopt(ctx, replies[best].Head, f.newPeerPartReader(peers[best])) == nil
}
