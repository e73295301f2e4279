package allowance

import (
	"context"
	"encoding/json"
	"net/http"

	"teaselgate/fleet"
)

// EvictResult is the response to an eviction: which instances have been notified of it.
type EvictResult struct {
	Instance string   `json:"instance"`
	Notified []string `json:"told"`
	// Unreachable names the instances that are not known to be gone and did not reply. The eviction must be repeated.
	Unreachable []string `json:"untold,omitempty"`
}

// ServeEvict handles POST /evict?instance=NAME, by which an operator declares an instance permanently gone. If the
// instance is still running, suspended or only disconnected, the accounts of its shards may exceed their rates.
func (l *Limiter) ServeEvict(w http.ResponseWriter, r *http.Request) {
	c, err := l.started()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("instance")
	instance, ok := l.findInstance(c, name)
	if !ok {
		http.Error(w, "allowance: no instance "+name+" is known", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.evict(r.Context(), instance))
}

// findInstance returns the newest incarnation of an instance that the membership or an assignment names.
func (l *Limiter) findInstance(c *components, name string) (Instance, bool) {
	found := Instance{Name: name}
	for _, m := range l.Members() {
		if m.Name == name {
			found.Incarnation, found.Zone, found.Peer = m.Incarnation, m.Zone, m.Peer
		}
	}
	for shard := range c.manager.Shards() {
		a := c.manager.Assignment(shard)
		for _, instance := range []Instance{a.Primary, a.Successor} {
			if instance.Name == name && instance.Incarnation > found.Incarnation {
				found = instance
			}
		}
	}
	return found, name != "" && found.Incarnation > 0
}

func (l *Limiter) evict(ctx context.Context, gone Instance) EvictResult {
	out := EvictResult{Instance: gone.Name}
	for _, m := range l.Members() {
		if m.State == fleet.Gone || m.Name == gone.Name && m.Incarnation > gone.Incarnation {
			continue
		}
		if l.evictAt(ctx, m, gone) {
			out.Notified = append(out.Notified, m.Name)
		} else if m.Name != gone.Name {
			out.Unreachable = append(out.Unreachable, m.Name)
		}
	}
	return out
}

func (l *Limiter) evictAt(ctx context.Context, m fleet.Member, gone Instance) bool {
	if m.Name == l.Self.Name {
		return l.Receiver().Evict(EvictArgs{gone}, &EvictReply{}) == nil
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	return l.Call(ctx, m.Peer, RPCName+".Evict", EvictArgs{gone}, &EvictReply{}) == nil
}
