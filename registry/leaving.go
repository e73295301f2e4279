package registry

import (
	"context"

	"teaselgate/event"
	"teaselgate/platform"
)

// LeavingArgs tells an instance that a server has said itself that it is leaving.
type LeavingArgs struct {
	Server    string
	StartedMS int64 // start of the server, since a later one under the same id is not leaving
}

// LeavingReply is the empty reply to LeavingArgs.
type LeavingReply struct{}

// MarkLeaving takes a server out of use at this instance, because a response of the server says that it is leaving. The
// store may list it as ready for seconds, or not respond. MarkLeaving returns the server, and whether it was in use.
func (f *Follower) MarkLeaving(id string) (platform.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.view.Load()
	if view == nil {
		return platform.Server{}, false
	}
	server, ok := view.servers[id]
	if !ok || server.Leaving {
		return server, false
	}
	f.leaving[id] = server.StartedMS
	f.Record(event.Event{Code: event.ServerSaysLeaving, Server: id, Detail: server.Address})
	f.replaceView()
	return server, true
}

// saysLeaving reports whether a server has said itself that it is leaving. It forgets that once the server has started
// again. The caller holds the lock.
func (f *Follower) saysLeaving(s platform.Server) bool {
	started, ok := f.leaving[s.ID]
	if ok && started != s.StartedMS {
		delete(f.leaving, s.ID)
		return false
	}
	return ok
}

// TellLeaving tells another instance that a server has said itself that it is leaving.
func (f *Follower) TellLeaving(ctx context.Context, address string, s platform.Server) {
	ctx, stop := context.WithTimeout(ctx, notifyTimeout)
	defer stop()
	args := LeavingArgs{Server: s.ID, StartedMS: s.StartedMS}
	if err := f.Call(ctx, address, RPCName+".Leaving", args, &LeavingReply{}); err != nil {
		f.Record(event.Event{Code: event.RelayFailed, Server: s.ID, Detail: address + ": " + err.Error()})
	}
}

// Leaving handles the message of an instance that a server is leaving.
func (r *Receiver) Leaving(args LeavingArgs, _ *LeavingReply) error {
	view := r.follower.Current()
	if view == nil {
		return nil
	}
	if server, ok := view.Server(args.Server); ok && server.StartedMS == args.StartedMS {
		r.follower.MarkLeaving(args.Server)
	}
	return nil
}
