package outcome_test

import (
	"context"
	"testing"

	"teaselgate/entry"
	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
)

// pair is two faults that act on each other.
type pair struct {
	faults string
	kind   kind
	step   string
	fire   func(*bench, *backend, *pending) fault.Action
	want   string // what the caller saw; for keyed calls also what a later repeat saw
}

// pool returns the servers of a pool.
func (b *bench) pool(name string) []*backend {
	var out []*backend
	for _, be := range b.backends {
		if be.pool == name {
			out = append(out, be)
		}
	}
	return out
}

// killPool ends all servers of a pool, the given one last, so that none is left when its call fails.
func (b *bench) killPool(last *backend) {
	for _, be := range b.pool(last.pool) {
		if be != last {
			be.kill()
		}
	}
	last.kill()
}

func platformDown(b *bench) { b.platform.SetFaults(standplatform.Faults{Outage: true}) }

var pairs = []pair{
	{"platform down, then a decode server's process ends", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		platformDown(b)
		be.kill()
		return fault.Break
	}, "whole"},
	{"caller goes away while the engine is silent", stream, "import", func(_ *bench, _ *backend, p *pending) fault.Action {
		p.gone()
		return fault.Hang
	}, "gone"},
	{"caller goes away and the first cancel is not answered", stream, "token", func(b *bench, be *backend, p *pending) fault.Action {
		b.onStep("cancel", func(*backend) fault.Action { return fault.Hang })
		p.gone()
		<-p.left
		return fault.Pass
	}, "gone"},
	{"caller goes away and the first cancel's answer is lost", stream, "token", func(b *bench, be *backend, p *pending) fault.Action {
		b.onStep("cancelled", func(*backend) fault.Action { return fault.Break })
		p.gone()
		<-p.left
		return fault.Pass
	}, "gone"},
	{"instance leaves, then a decode server's process ends", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		b.running.Go(func() { _ = b.nodes[0].server.Shutdown(b.ctx) })
		be.kill()
		return fault.Break
	}, "whole"},
	{"backend server leaves, then its process ends", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		b.leave(be)
		be.kill()
		return fault.Break
	}, "whole"},
	{"instance and backend server leave", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		b.running.Go(func() { _ = b.nodes[0].server.Shutdown(b.ctx) })
		b.leave(be)
		return fault.Pass
	}, "whole"},
	{"instance leaves while the platform is down", keyed, "received", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.running.Go(func() { _ = b.nodes[0].server.Shutdown(b.ctx) })
		platformDown(b)
		return fault.Pass
	}, "whole/replayed"},
	{"two decode servers end in one stream", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		b.onStep("token", func(next *backend) fault.Action {
			next.kill()
			return fault.Break
		})
		be.kill()
		return fault.Break
	}, "broken"},
	{"all decode servers end in mid-stream", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		b.killPool(be)
		return fault.Break
	}, "broken"},
	{"all prefill servers end", complete, "prefill", func(b *bench, be *backend, _ *pending) fault.Action {
		b.killPool(be)
		return fault.Break
	}, "unknown"},
	{"decode server's process ends, then the caller goes away", stream, "token", func(b *bench, be *backend, p *pending) fault.Action {
		b.onStep("prefill", func(*backend) fault.Action {
			p.gone()
			<-p.left
			return fault.Pass
		})
		be.kill()
		return fault.Break
	}, "gone"},
	{"key withdrawn, then a decode server's process ends", stream, "token", func(b *bench, be *backend, _ *pending) fault.Action {
		b.withdrawKey()
		be.kill()
		return fault.Break
	}, "broken|ran"},
	{"answer of the platform lost, then the service is silent", keyed, "sent", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.onStep("received", func(*backend) fault.Action { return fault.Hang })
		return fault.Break
	}, "unknown/unknown"},
	{"answer of the platform lost, then the instance's process ends", keyed, "sent", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.nodes[0].kill()
		return fault.Break
	}, "broken/unknown"},
	{"answer of the platform lost, then the platform is down", keyed, "sent", func(b *bench, _ *backend, _ *pending) fault.Action {
		platformDown(b)
		return fault.Break
	}, "not-run/whole"},
	{"claim's answer lost, then the platform is down", keyed, "claimed", func(b *bench, _ *backend, _ *pending) fault.Action {
		platformDown(b)
		return fault.Break
	}, "not-run/whole"},
	{"service's answer lost, then the platform is down", keyed, "ran", func(b *bench, _ *backend, _ *pending) fault.Action {
		platformDown(b)
		return fault.Break
	}, "unknown/unknown"},
	{"service ran, then the instance's process ends while the platform is down", keyed, "ran", func(b *bench, _ *backend, _ *pending) fault.Action {
		platformDown(b)
		b.nodes[0].kill()
		return fault.Pass
	}, "broken/unknown"},
	{"all services end before the call is sent", keyed, "claim", func(b *bench, _ *backend, _ *pending) fault.Action {
		for _, be := range b.pool("service") {
			be.kill()
		}
		return fault.Pass
	}, "not-run/not-run"},
	{"all services end after the right to send is won", keyed, "sent", func(b *bench, _ *backend, _ *pending) fault.Action {
		for _, be := range b.pool("service") {
			be.kill()
		}
		return fault.Pass
	}, "unknown/unknown"},
	{"shutdown deadline while the engine is silent", stream, "import", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.nodes[0].end(entry.ErrShuttingDown)
		return fault.Hang
	}, "unknown"},
}

func TestFaultPairs(t *testing.T) {
	for _, p := range pairs {
		t.Run(p.faults, func(t *testing.T) {
			t.Parallel()
			runCell(t, row{fault: p.faults, fire: p.fire}, p.kind, p.step, p.want)
		})
	}
}

func TestOutageOfAPassingRoute(t *testing.T) {
	b := newBench(t, 1)
	defer b.close()
	platformDown(b)
	if saw := b.call(context.Background(), b.nodes[0], passing, "call"); saw != sawWhole {
		t.Errorf("unexpected answer, got %s instead of %s", saw, sawWhole)
	}
	if saw := b.call(context.Background(), b.nodes[0], keyed, "other"); saw != sawNotRun {
		t.Errorf("unexpected answer, got %s instead of %s", saw, sawNotRun)
	}
}
