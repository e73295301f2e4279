package allowance

import (
	"context"
	"encoding/json"
	"net/http"

	"teaselgate/fleet"
)

// EvictResult is the answer to an eviction: which instances know of it.
type EvictResult struct {
	Instance    string   `json:"instance"`
	Notified    []string `json:"told"`
	Unreachable []string `json:"untold,omitempty"` // live, but no answer: evict again
}

// ServeEvict takes an operator's word that an instance is gone for good: POST /evict?instance=NAME. It is false when
// the instance still runs, is paused, or is only cut off: then its shards may go over their rates.
func (n *Limiter) ServeEvict(w http.ResponseWriter, r *http.Request) {
	c, err := n.opened()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("instance")
	h, ok := n.find(c, name)
	if !ok {
		http.Error(w, "allowance: no instance "+name+" is known", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.evict(r.Context(), h))
}

// find returns the newest incarnation of an instance that the membership or a shard names.
func (n *Limiter) find(c *core, name string) (Instance, bool) {
	found := Instance{Name: name}
	for _, m := range n.Members() {
		if m.Name == name {
			found.Incarnation, found.Zone, found.Peer = m.Incarnation, m.Zone, m.Peer
		}
	}
	for shard := range c.keeper.Shards() {
		o := c.keeper.Assignment(shard)
		for _, h := range []Instance{o.Primary, o.Successor} {
			if h.Name == name && h.Incarnation > found.Incarnation {
				found = h
			}
		}
	}
	return found, name != "" && found.Incarnation > 0
}

func (n *Limiter) evict(ctx context.Context, gone Instance) EvictResult {
	out := EvictResult{Instance: gone.Name}
	for _, m := range n.Members() {
		if m.State == fleet.Gone || m.Name == gone.Name && m.Incarnation > gone.Incarnation {
			continue
		}
		if n.evictAt(ctx, m, gone) {
			out.Notified = append(out.Notified, m.Name)
		} else if m.Name != gone.Name {
			out.Unreachable = append(out.Unreachable, m.Name)
		}
	}
	return out
}

func (n *Limiter) evictAt(ctx context.Context, m fleet.Member, gone Instance) bool {
	if m.Name == n.Self.Name {
		return n.Receiver().Evict(EvictArgs{gone}, &EvictReply{}) == nil
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	return n.Call(ctx, m.Peer, RPCName+".Evict", EvictArgs{gone}, &EvictReply{}) == nil
}
