package throttle

import (
	"context"
	"errors"
	"time"

	"teaselgate/event"
	"teaselgate/upstream"
)

// Constants of permits.
const (
	// permitTimeout bounds a call to the keeper. It is short against the response times that callers expect.
	permitTimeout = 60 * time.Millisecond
	// keeperPause is how long a keeper that did not answer is not called again.
	keeperPause = time.Second
	// reachableSlack lets a keeper that does not reach a few instances still grant the whole rate. All parts of a divided
	// fleet together grant at most this multiple of the rate.
	reachableSlack = 1.2
)

// ErrLimit means that a request was not sent because its server takes no more at present.
var ErrLimit = errors.New("throttle: the server takes no more requests at present")

// Denial is an ErrLimit with the time from which to retry.
type Denial struct {
	RetryAt time.Time
}

// Error implements error.
func (d *Denial) Error() string { return ErrLimit.Error() }

// Unwrap returns ErrLimit.
func (d *Denial) Unwrap() error { return ErrLimit }

// fallback is the part of a server's limit that this instance uses by itself while the keeper does not answer.
type fallback struct {
	bucket
	sent float64 // requests sent meanwhile, which the keeper has yet to count
}

// Use is the purpose of a permit.
type Use uint8

// Purposes of permits.
const (
	ForRequest Use = iota // a caller's request
	ForControl            // a report, an order or a release
)

// TakeArgs asks a keeper for a permit.
type TakeArgs struct {
	Statement Statement // what the asking instance knows of the limit
	Use       Use
	Sent      float64 // requests that it has sent without a permit
}

// TakeReply is the reply to TakeArgs.
type TakeReply struct {
	Granted   bool
	Next      time.Duration // time until the next permit
	RetryIn   time.Duration // time after which a caller should return
	Statement Statement     // what the keeper knows of the limit
}

// Acquire gets a permit to send a request to a server. It returns a Denial if the server takes no more at present, and nil
// if it names no limit.
func (l *List) Acquire(ctx context.Context, server upstream.ServerKey, use Use) error {
	if _, limited := l.Rate(server); !limited {
		return nil
	}
	keeper := l.Keeper(server)
	if keeper == "" {
		return l.denial(server, l.take(server, use))
	}
	args, answers := l.prepareAsk(server, keeper, use)
	if !answers {
		return l.denial(server, l.takeFallback(server, use))
	}
	if args == nil {
		return &Denial{RetryAt: l.RetryAt(server)}
	}
	call, stop := context.WithTimeout(ctx, permitTimeout)
	defer stop()
	var reply TakeReply
	if err := l.Call(call, keeper, RPCName+".Take", *args, &reply); err != nil {
		l.addSent(server, args.Sent)
		if ctx.Err() != nil {
			return &Denial{RetryAt: l.Now()} // the request has ended, which says nothing about the keeper
		}
		l.recordSilence(keeper)
		l.Record(event.Event{Code: event.KeeperUnreachable, Server: server.Server, Detail: keeper + ": " + err.Error()})
		return l.denial(server, l.takeFallback(server, use))
	}
	l.recordReply(server, keeper, reply)
	return l.denial(server, reply)
}

// prepareAsk returns the question to the keeper of a server. It returns nil if the keeper has lately said that there is no
// permit, and false if the keeper does not answer.
func (l *List) prepareAsk(server upstream.ServerKey, keeper string, use Use) (args *TakeArgs, answers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if now.Before(l.silent[keeper]) {
		return nil, false
	}
	if now.Before(l.denied[server].until) {
		return nil, true
	}
	args = &TakeArgs{Statement: l.statements[server].export(server, now), Use: use}
	if f, ok := l.fallbacks[server]; ok {
		args.Sent, f.sent = f.sent, 0
	}
	return args, true
}

// denial returns the error of a reply, and remembers until when there is no permit.
func (l *List) denial(server upstream.ServerKey, reply TakeReply) error {
	if reply.Granted {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	d := denied{now.Add(reply.Next), now.Add(reply.RetryIn)}
	if _, limited := l.rate(server); limited && reply.Next > 0 {
		l.denied[server] = d
	}
	return &Denial{RetryAt: d.retryAt}
}

// recordSilence records that a keeper does not answer.
func (l *List) recordSilence(keeper string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[keeper] = l.Now().Add(keeperPause)
}

// addSent records requests that were sent without a permit and that the keeper has yet to count.
func (l *List) addSent(server upstream.ServerKey, n float64) {
	if n > 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fallback(server).sent += n
	}
}

// fallback returns this instance's own part of a limit. The caller holds the lock.
func (l *List) fallback(server upstream.ServerKey) *fallback {
	f, ok := l.fallbacks[server]
	if !ok {
		// The instances begin at random levels, so that they do not all send a request at once.
		f = &fallback{bucket: bucket{burst: 1, level: l.Random(), at: l.Now()}}
		l.fallbacks[server] = f
	}
	return f
}

// recordReply records that the keeper of a server answers.
func (l *List) recordReply(server upstream.ServerKey, keeper string, reply TakeReply) {
	l.merge(reply.Statement, false, "from "+keeper)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fallbacks, server)
	delete(l.silent, keeper)
}

// takeFallback takes a permit of this instance's own part of a limit.
func (l *List) takeFallback(server upstream.ServerKey, use Use) TakeReply {
	_, known := l.Reachable()
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.rate(server)
	if !limited {
		return TakeReply{Granted: true}
	}
	f := l.fallback(server)
	reply := takeFrom(&f.bucket, l.Now(), max(rate, minRate)/float64(max(known, 1)), use)
	if reply.Granted {
		f.sent++
	}
	reply.Next = min(reply.Next, keeperPause) // the keeper may have a permit then
	return reply
}

// take takes a permit as the keeper of a server.
func (l *List) take(server upstream.ServerKey, use Use) TakeReply {
	if _, limited := l.Rate(server); !limited {
		return TakeReply{Granted: true}
	}
	return l.takeShare(server, l.share(), use)
}

// takeShare takes a permit as the keeper of a server, which grants a part of the limit.
func (l *List) takeShare(server upstream.ServerKey, share float64, use Use) TakeReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.rate(server)
	if !limited {
		return TakeReply{Granted: true}
	}
	return takeFrom(l.permit(server), l.Now(), max(rate, minRate)*share, use)
}

func takeFrom(b *bucket, now time.Time, rate float64, use Use) TakeReply {
	if use == ForControl {
		return TakeReply{Granted: b.takeControl(now, rate)}
	}
	granted, next, retryIn := b.take(now, rate)
	return TakeReply{Granted: granted, Next: next, RetryIn: retryIn}
}

// share returns the part of each limit that this instance may grant as a keeper.
func (l *List) share() float64 { return Share(l.Reachable()) }

// Share returns the part of a limit that a keeper may grant which reaches some of the known instances, itself included.
func Share(reachable, known int) float64 {
	return min(1, reachableSlack*float64(reachable)/float64(max(known, 1)))
}

// CanTake reports whether there is a permit for a request, at the keeper of a server that grants a part of its limit.
func (l *List) CanTake(server upstream.ServerKey, share float64) bool {
	if _, limited := l.Rate(server); !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.rate(server)
	if !limited {
		return true
	}
	b := l.permit(server)
	b.refill(l.Now(), max(rate, minRate)*share)
	return b.level >= 1
}

// Take takes a permit that CanTake has reported.
func (l *List) Take(server upstream.ServerKey, share float64) {
	if _, limited := l.Rate(server); limited {
		l.takeShare(server, share, ForRequest)
	}
}

// denied says that a keeper had no permit.
type denied struct {
	until   time.Time // time of the next permit
	retryAt time.Time // time from which a caller should return
}

// Exhausted returns the ids of the servers for which there is no permit at present, as far as this instance knows.
func (l *List) Exhausted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.denied) == 0 {
		return nil
	}
	now := l.Now()
	var out []string
	for server, d := range l.denied {
		if d.until.After(now) {
			out = append(out, server.Server)
			continue
		}
		delete(l.denied, server)
	}
	return out
}

// RetryAt returns the time from which a caller should return to a server for which there is no permit at present, or the
// zero time if there may be one.
func (l *List) RetryAt(server upstream.ServerKey) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.denied[server]; d.until.After(l.Now()) {
		return d.retryAt
	}
	return time.Time{}
}
