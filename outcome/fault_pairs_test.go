package outcome_test

import (
	"context"
	"testing"

	"teaselgate/outcome"
	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
)

// faultPair is a combination of two faults and its expected result.
type faultPair struct {
	faults      string
	requestKind requestKind
	step        string
	inject      func(*testbed, *backend, *pendingRequest) fault.Action
	want        string // expected result, and for requests with a key also that of a later retry
}

// pool returns the backend servers of a pool.
func (b *testbed) pool(name string) []*backend {
	var out []*backend
	for _, be := range b.backends {
		if be.pool == name {
			out = append(out, be)
		}
	}
	return out
}

// killPool kills all backend servers in the pool of last. It kills last at the end, so that no other backend server is
// left when the call to it fails.
func (b *testbed) killPool(last *backend) {
	for _, be := range b.pool(last.pool) {
		if be != last {
			be.kill()
		}
	}
	last.kill()
}

// stopPlatform has the platform refuse every request.
func stopPlatform(b *testbed) { b.platform.SetFaults(standplatform.Faults{Outage: true}) }

var faultPairs = []faultPair{
	{
		"platform is down, then a decode server is killed", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			stopPlatform(b)
			be.kill()
			return fault.Abort
		},
		"whole",
	},
	{
		"caller disconnects while the engine hangs", kindStream, "import",
		func(_ *testbed, _ *backend, p *pendingRequest) fault.Action {
			p.disconnect()
			return fault.Hang
		},
		"gone",
	},
	{
		"caller disconnects and the first cancel gets no response", kindStream, "token",
		func(b *testbed, be *backend, p *pendingRequest) fault.Action {
			b.injectAt("cancel", func(*backend) fault.Action { return fault.Hang })
			p.disconnect()
			<-p.callerDone
			return fault.Pass
		},
		"gone",
	},
	{
		"caller disconnects and the response to the first cancel is lost", kindStream, "token",
		func(b *testbed, be *backend, p *pendingRequest) fault.Action {
			b.injectAt("cancelled", func(*backend) fault.Action { return fault.Abort })
			p.disconnect()
			<-p.callerDone
			return fault.Pass
		},
		"gone",
	},
	{
		"instance shuts down, then a decode server is killed", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.running.Go(func() { _ = b.instances[0].server.Shutdown(b.ctx) })
			be.kill()
			return fault.Abort
		},
		"whole",
	},
	{
		"backend server is leaving, then it is killed", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.startLeaving(be)
			be.kill()
			return fault.Abort
		},
		"whole",
	},
	{
		"instance shuts down and backend server is leaving", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.running.Go(func() { _ = b.instances[0].server.Shutdown(b.ctx) })
			b.startLeaving(be)
			return fault.Pass
		},
		"whole",
	},
	{
		"instance shuts down while the platform is down", kindOnceKeyed, "received",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			b.running.Go(func() { _ = b.instances[0].server.Shutdown(b.ctx) })
			stopPlatform(b)
			return fault.Pass
		},
		"whole/replayed",
	},
	{
		"two decode servers are killed during one stream", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.injectAt("token", func(next *backend) fault.Action {
				next.kill()
				return fault.Abort
			})
			be.kill()
			return fault.Abort
		},
		"broken",
	},
	{
		"all decode servers are killed during a stream", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.killPool(be)
			return fault.Abort
		},
		"broken",
	},
	{
		"all prefill servers are killed", kindCompletion, "prefill",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.killPool(be)
			return fault.Abort
		},
		"unknown",
	},
	{
		"decode server is killed, then the caller disconnects", kindStream, "token",
		func(b *testbed, be *backend, p *pendingRequest) fault.Action {
			b.injectAt("prefill", func(*backend) fault.Action {
				p.disconnect()
				<-p.callerDone
				return fault.Pass
			})
			be.kill()
			return fault.Abort
		},
		"gone",
	},
	{
		"API key is withdrawn, then a decode server is killed", kindStream, "token",
		func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
			b.withdrawKey()
			be.kill()
			return fault.Abort
		},
		"broken|ran",
	},
	{
		"platform response is lost, then the service hangs", kindOnceKeyed, "sent",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			b.injectAt("received", func(*backend) fault.Action { return fault.Hang })
			return fault.Abort
		},
		"unknown/unknown",
	},
	{
		"platform response is lost, then the instance is killed", kindOnceKeyed, "sent",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			b.instances[0].kill()
			return fault.Abort
		},
		"broken/unknown",
	},
	{
		"platform response is lost, then the platform is down", kindOnceKeyed, "sent",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			stopPlatform(b)
			return fault.Abort
		},
		"not-run/whole",
	},
	{
		"response to the claim is lost, then the platform is down", kindOnceKeyed, "claimed",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			stopPlatform(b)
			return fault.Abort
		},
		"not-run/whole",
	},
	{
		"service response is lost, then the platform is down", kindOnceKeyed, "ran",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			stopPlatform(b)
			return fault.Abort
		},
		"unknown/unknown",
	},
	{
		"request ran, then the instance is killed while the platform is down", kindOnceKeyed, "ran",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			stopPlatform(b)
			b.instances[0].kill()
			return fault.Pass
		},
		"broken/unknown",
	},
	{
		"all services are killed before the request is sent", kindOnceKeyed, "claim",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			for _, be := range b.pool("service") {
				be.kill()
			}
			return fault.Pass
		},
		"not-run/not-run",
	},
	{
		"all services are killed after the right to send is acquired", kindOnceKeyed, "sent",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			for _, be := range b.pool("service") {
				be.kill()
			}
			return fault.Pass
		},
		"unknown/unknown",
	},
	{
		"shutdown deadline passes while the engine hangs", kindStream, "import",
		func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
			b.instances[0].end(outcome.ErrShuttingDown)
			return fault.Hang
		},
		"unknown",
	},
}

func TestFaultPairs(t *testing.T) {
	for _, p := range faultPairs {
		t.Run(p.faults, func(t *testing.T) {
			t.Parallel()
			runCase(t, faultRow{fault: p.faults, inject: p.inject}, p.requestKind, p.step, p.want)
		})
	}
}

func TestOutagePassRouteWorksWhilePlatformIsDown(t *testing.T) {
	b := newTestbed(t, 1)
	defer b.close()
	stopPlatform(b)
	if result := b.call(context.Background(), b.instances[0], kindOncePass, "call"); result != resultWhole {
		t.Errorf("unexpected result on a route with outage: pass, got %s instead of %s", result, resultWhole)
	}
	if result := b.call(context.Background(), b.instances[0], kindOnceKeyed, "other"); result != resultNotRun {
		t.Errorf("unexpected result on a route with outage: refuse, got %s instead of %s", result, resultNotRun)
	}
}
