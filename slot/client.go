package slot

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/rule"
	"teaselgate/shutdown"
)

// Timing of the calls to keepers.
const (
	takeTimeout   = 60 * time.Millisecond  // for a first call; short against the response times that callers expect
	pollTimeout   = 300 * time.Millisecond // for a call that may wait pollWait at the keeper
	reportTimeout = 300 * time.Millisecond
	keeperPause   = time.Second          // how long a keeper that did not answer is not called again
	reportDelay   = 4 * time.Millisecond // collects the ends of attempts
)

// errSilent means that the keeper does not answer.
var errSilent = errors.New("slot: the keeper does not answer")

// Client gets slots for the requests of this instance from the keepers of their services. While a keeper is silent, and for
// services whose slots are not shared, it picks servers by what this instance alone knows. Its exported fields are set before
// Serve.
type Client struct {
	Local  *Picker
	Own    *Keeper
	Rules  func() *rule.Set
	Keeper func(pool string) (address string, self bool)
	Shared func(pool string) bool // reports whether the slots of a service are shared by all instances
	Call   func(ctx context.Context, address, method string, args, reply any) error
	Record func(event.Event)
	Now    func() time.Time
	// ShutdownDeadline returns when this instance ends its unfinished requests, or the zero time while it is not stopping.
	ShutdownDeadline func() time.Time

	directory rule.Directory
	mu        sync.Mutex
	taken     map[string]taken     // attempts with a slot from a keeper, by key
	silent    map[string]time.Time // until when keepers are not called, by address
	unsent    map[keptService][]Report
	wake      chan struct{}
	sending   sync.WaitGroup
}

// keptService is a service and the instance that keeps its slots.
type keptService struct{ keeper, pool string }

// taken is an attempt with a slot.
type taken struct {
	keptService
	server string
}

// NewClient returns a client that shares no slots.
func NewClient(local *Picker, own *Keeper) *Client {
	return &Client{
		Local: local, Own: own, Rules: local.Rules, Now: time.Now,
		Keeper: func(string) (string, bool) { return "", true }, Shared: func(string) bool { return false },
		Record: func(event.Event) {}, ShutdownDeadline: func() time.Time { return time.Time{} },
		taken: make(map[string]taken), silent: make(map[string]time.Time), unsent: make(map[keptService][]Report),
		wake: make(chan struct{}, 1),
	}
}

// Pick returns a server for an attempt. The caller calls Done when the attempt has ended. With ErrFull and ErrNoServer it
// returns a Refusal.
func (c *Client) Pick(ctx context.Context, pool string, ask Ask) (rule.Server, error) {
	if err := c.refuseAtShutdown(ask.Left); err != nil {
		return rule.Server{}, err
	}
	if c.Shared(pool) {
		server, err := c.take(ctx, pool, ask)
		if !errors.Is(err, errSilent) {
			return server, err
		}
	}
	if ask.Retry {
		return rule.Server{}, noRetry.New("slot: this instance has no retry left, and the keeper does not answer")
	}
	return c.Local.Pick(pool, c.elsewhere(pool, ask))
}

// elsewhere returns the servers that a request may not use.
func (c *Client) elsewhere(pool string, ask Ask) []string {
	if len(ask.Zones) == 0 {
		return ask.Exclude
	}
	out := append([]string(nil), ask.Exclude...)
	for _, s := range c.directory.Pool(c.Rules(), pool) {
		if !ask.allows(s) {
			out = append(out, s.Server)
		}
	}
	return out
}

// take gets a slot from the keeper of a service.
func (c *Client) take(ctx context.Context, pool string, ask Ask) (rule.Server, error) {
	address, self := c.Keeper(pool)
	if !self && (address == "" || c.isSilent(address)) {
		return rule.Server{}, errSilent
	}
	service, started := keptService{address, pool}, c.Now()
	args := TakeArgs{Pool: pool, Ask: ask}
	for {
		if err := c.refuseAtShutdown(args.Ask.Left); err != nil {
			c.report(service, Report{Key: ask.Key, Unused: true})
			return rule.Server{}, err
		}
		args.Reports = c.takeReports(service)
		reply, err := c.call(ctx, service, self, args)
		if ctx.Err() != nil {
			c.report(service, Report{Key: ask.Key, Unused: true})
			return rule.Server{}, ctx.Err()
		}
		if err != nil {
			c.recordSilence(service, ask.Key, args.Reports, err)
			return rule.Server{}, errSilent
		}
		if reply.Status == Waiting {
			waited := c.Now().Sub(started)
			args.Again, args.Ask.First, args.Ask.Retry = true, false, false
			args.Ask.Waited, args.Ask.Left = ask.Waited+waited, max(ask.Left-waited, 1)
			continue
		}
		return c.accept(service, ask.Key, reply)
	}
}

// refuseAtShutdown returns the refusal of a request that this instance, which is stopping, may have to cut: its time ends after the
// shutdown deadline.
func (c *Client) refuseAtShutdown(left time.Duration) error {
	deadline, now := c.ShutdownDeadline(), c.Now()
	if deadline.IsZero() || left > 0 && !now.Add(left).After(deadline) {
		return nil
	}
	return &Refusal{
		full.New("slot: the answer may take %v, and its instance shuts down in %v",
			left.Round(time.Millisecond), deadline.Sub(now).Round(time.Millisecond)),
		now.Add(shutdown.RetryAfter),
	}
}

// call calls the keeper of a service, directly if that is this instance.
func (c *Client) call(ctx context.Context, service keptService, self bool, args TakeArgs) (TakeReply, error) {
	if self {
		return c.Own.Take(ctx, args), nil
	}
	timeout := takeTimeout
	if args.Again {
		timeout = pollTimeout
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	var reply TakeReply
	err := c.Call(ctx, service.keeper, RPCName+".Take", args, &reply)
	return reply, err
}

// accept returns the server of a reply. A server that is not live by the rules in force here is not used.
func (c *Client) accept(service keptService, key string, reply TakeReply) (rule.Server, error) {
	retryAt := c.Now().Add(reply.RetryIn)
	switch reply.Status {
	case Full:
		return rule.Server{}, &Refusal{full.New("%s", reply.Reason), retryAt}
	case NoServer:
		return rule.Server{}, &Refusal{noServer.New("%s", reply.Reason), retryAt}
	case NoRetry:
		return rule.Server{}, noRetry.New("%s", reply.Reason)
	}
	server, live := c.directory.LiveServer(c.Rules(), service.pool, reply.Server)
	if !live {
		c.report(service, Report{Key: key, Unused: true})
		return rule.Server{}, &Refusal{noServer.New("slot: server %s is not live here", reply.Server), retryAt.Add(minRetryIn)}
	}
	c.mu.Lock()
	c.taken[key] = taken{service, server.Server}
	c.mu.Unlock()
	c.Local.Take(server.Server)
	return server, nil
}

// Done records the end of an attempt.
func (c *Client) Done(key, server string, took time.Duration, result Result) {
	c.Local.RecordResult(server, took, result)
	c.end(Report{Key: key, Took: took, Result: result})
}

// Unpick takes back a Pick: the request was not sent to the server.
func (c *Client) Unpick(key, server string) {
	c.Local.Unpick(server)
	c.end(Report{Key: key, Unused: true})
}

func (c *Client) end(r Report) {
	c.mu.Lock()
	t, ok := c.taken[r.Key]
	delete(c.taken, r.Key)
	c.mu.Unlock()
	if ok {
		c.report(t.keptService, r)
	}
}

// report has a report sent to the keeper of a service.
func (c *Client) report(service keptService, r Report) {
	if service.keeper == "" {
		c.Own.Report(ReportArgs{service.pool, []Report{r}})
		return
	}
	c.mu.Lock()
	c.unsent[service] = append(c.unsent[service], r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeReports returns the reports that the keeper of a service has yet to get.
func (c *Client) takeReports(service keptService) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.unsent[service]
	delete(c.unsent, service)
	return out
}

func (c *Client) isSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now().Before(c.silent[address])
}

// recordSilence records that a keeper does not answer. It gets the lost reports, and that the slot is not used, once it does.
func (c *Client) recordSilence(service keptService, key string, reports []Report, err error) {
	c.mu.Lock()
	c.silent[service.keeper] = c.Now().Add(keeperPause)
	c.unsent[service] = append(c.unsent[service], append(reports, Report{Key: key, Unused: true})...)
	c.mu.Unlock()
	c.Record(event.Event{Code: event.SlotKeeperUnreachable, Request: key, Detail: service.keeper + ": " + err.Error()})
}

// Serve sends reports to keepers until the context ends.
func (c *Client) Serve(ctx context.Context) error {
	defer c.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		if delay.For(ctx, reportDelay) != nil {
			return ctx.Err()
		}
		c.sendReports(ctx)
	}
}

func (c *Client) sendReports(ctx context.Context) {
	c.mu.Lock()
	unsent := c.unsent
	c.unsent = make(map[keptService][]Report)
	c.mu.Unlock()
	for service, reports := range unsent {
		c.sending.Go(func() {
			ctx, stop := context.WithTimeout(ctx, reportTimeout)
			defer stop()
			args := ReportArgs{service.pool, reports}
			// A lost report is made up for by the end of the lease.
			_ = c.Call(ctx, service.keeper, RPCName+".Report", args, &ReportReply{})
		})
	}
}
