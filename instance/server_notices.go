package instance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

var (
	// errServerBusy means that a backend server wants no requests from this instance at present.
	errServerBusy = errors.New("instance: the backend server wants no requests at present")
	// errServerEvacuated means that a backend server is in an evacuated availability zone.
	errServerEvacuated = errors.New("instance: the availability zone of the backend server is evacuated")
)

// observeResponse takes what a backend server says about itself in a response to a caller's request: that it is leaving,
// that it wants no requests for a time, or how many it takes a second. A response of another server than the expected one
// says nothing about the latter.
func (i *Instance) observeResponse(key upstream.ServerKey, sent time.Time, resp *http.Response) {
	kind := throttle.Other
	switch {
	case platform.IsNotRun(resp):
		kind = throttle.Reject
	case platform.IsSealed(resp.Header):
		kind = throttle.Run
	}
	i.observeNotices(key, kind, sent, resp)
}

func (i *Instance) observeNotices(key upstream.ServerKey, kind throttle.Kind, sent time.Time, resp *http.Response) {
	if platform.IsMisdirected(resp) {
		return
	}
	rate, limited := platform.RequestLimit(resp.Header)
	i.throttle.Observe(key, throttle.Answer{Kind: kind, Limited: limited, Rate: rate, SentAt: sent})
	if platform.IsLeaving(resp.Header) {
		if server, wasInUse := i.registry.MarkLeaving(key.Server); wasInUse {
			i.tellDispatcher(server)
		}
	}
	if d := platform.Backoff(resp); d > 0 && i.backoff.Start(key, d) {
		i.events.Record(event.Event{
			Code: event.ServerBusy, Server: key.Server, Detail: fmt.Sprintf("%s, for %v", key.Address, d.Round(time.Millisecond)),
		})
	}
}

// tellDispatcher tells the dispatcher that places requests on an engine, if it is another instance, that the engine is
// leaving. It does not wait for the call.
func (i *Instance) tellDispatcher(server platform.Server) {
	model, ok := i.ruleSet().Model(server.Service)
	if !ok {
		return
	}
	dispatcher, ok := i.placer.Dispatcher(cell.ID{Prefill: model.Prefill, Decode: model.Decode})
	if ok && dispatcher.Name != i.Options.Name {
		go i.registry.TellLeaving(context.Background(), dispatcher.Peer, server)
	}
}

// newEngineClient returns a client for calls to engines that heeds what they say about themselves.
func (i *Instance) newEngineClient() *platform.EngineClient {
	c := platform.NewEngineClient(engineIdleTimeout)
	c.Admit = func(ctx context.Context, address string) error {
		if i.isEvacuated(address) {
			return errServerEvacuated
		}
		if len(i.backoff.Servers()) == 0 && len(i.throttle.Limits()) == 0 {
			return nil
		}
		key, ok := i.serverAt(address)
		if !ok {
			return nil
		}
		if !i.backoff.Until(key).IsZero() {
			return errServerBusy
		}
		return i.throttle.Acquire(ctx, key, throttle.ForControl)
	}
	c.Observe = func(address string, sent time.Time, resp *http.Response) {
		if key, ok := i.serverAt(address); ok {
			i.observeNotices(key, throttle.Control, sent, resp)
		}
	}
	return c
}

// isEvacuated reports whether the backend server at an address is in an evacuated availability zone.
func (i *Instance) isEvacuated(address string) bool {
	view := i.registry.Current()
	if view == nil || !view.HasEvacuated() {
		return false
	}
	server, ok := view.ServerAt(address)
	return ok && server.Evacuated
}

// serverAt returns the key of the backend server at an address, if exactly one is registered there.
func (i *Instance) serverAt(address string) (upstream.ServerKey, bool) {
	view := i.registry.Current()
	if view == nil {
		return upstream.ServerKey{}, false
	}
	server, ok := view.ServerAt(address)
	return upstream.ServerKey{Server: server.ID, Address: address}, ok
}
