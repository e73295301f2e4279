package config

import (
	"context"
	"sync"
	"time"

	"teaselgate/delay"
)

// RPCName is the name under which the methods for peers are registered.
const RPCName = "Config"

const peerCallTimeout = 3 * time.Second

// AfterArgs asks for the newest revision by an instance that has an earlier one.
type AfterArgs struct {
	Revision uint64 // in force at the caller
}

// AfterReply carries the revision in force at the callee.
type AfterReply struct {
	Ready bool // whether the callee itself has heard enough
	Head  Head // its log goes back to the caller's revision where it can, else as far as it goes
}

// PartArgs asks for a part of the revision in force.
type PartArgs struct {
	Name string
}

// PartReply carries the part.
type PartReply struct {
	Part StoredPart
}

// Receiver answers the calls of peers.
type Receiver struct{ follower *Follower }

// Receiver returns what is to be registered under RPCName.
func (f *Follower) Receiver() *Receiver { return &Receiver{f} }

// After returns the head of the revision in force.
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

// peerRevision tells that a peer has a newer revision.
type peerRevision struct {
	address  string
	revision uint64
}

// HandlePeerRevision notes that a peer has a revision, and returns at once.
func (f *Follower) HandlePeerRevision(address string, revision uint64) {
	if current := f.Current(); current == nil || current.Number >= revision {
		return
	}
	select {
	case f.peerRevisions <- peerRevision{address, revision}:
	default:
	}
}

// relayLoop fetches newer revisions from the peers that have them.
func (f *Follower) relayLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-f.peerRevisions:
			if f.Current().Number < n.revision {
				_ = f.adoptFromPeer(ctx, n.address)
			}
		}
	}
}

// adoptFromPeer puts a peer's revision in force; a failure is repeated at the next heartbeat.
func (f *Follower) adoptFromPeer(ctx context.Context, address string) error {
	reply, err := f.requestHead(ctx, address)
	if err != nil || !reply.Ready {
		return err
	}
	return f.adopt(ctx, reply.Head, f.newPeerPartReader(address))
}

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

// newPeerPartReader reads parts from a peer.
func (f *Follower) newPeerPartReader(address string) partReader {
	return func(ctx context.Context, name string) (StoredPart, error) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		var reply PartReply
		err := f.Call(ctx, address, RPCName+".Part", PartArgs{name}, &reply)
		return reply.Part, err
	}
}

// loadInitialRevision finds the newest revision: the platform's, or else the highest of the known peers. It
// returns once the platform or at least half of the known peers were heard.
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

// loadInitialRevisionFromPeers asks all known peers and waits for each answer or its failure.
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
