package quarantine

import (
	"context"
	"fmt"
	"strings"
	"time"

	"teaselgate/event"
)

// Attempt is an attempt at a server that got no complete answer.
type Attempt struct {
	Crash   // what to report if the server has ended
	Address string
	Cut     bool // whether this instance or the caller ended the attempt, and not the server
	Detail  string
	Refuses func(ctx context.Context, address string) bool // reports whether nothing listens at an address
}

// ReportNoAnswer finds out whether a server has ended under an attempt, or does so soon after. It checks the server of an
// attempt that broke off before it returns, so that a retry is decided with what that shows.
func (l *List) ReportNoAnswer(ctx context.Context, a Attempt) {
	a.At = l.Now()
	if !a.Cut && ctx.Err() == nil && a.Refuses(ctx, a.Address) {
		l.reportEnds([]Attempt{a})
		return
	}
	l.watch.add(a)
}

// reportEnds records that a server has ended under attempts, as evidence against their requests, unless these have been
// answered since by another server.
func (l *List) reportEnds(attempts []Attempt) {
	crashes := make([]Crash, 0, len(attempts))
	for _, a := range attempts {
		l.Record(event.Event{
			Code: event.ServerEnded, Request: a.Request, Account: a.Caller.Account, Server: a.Server, Detail: a.describe(l.Now()),
		})
		if !l.began.answeredSince(a.Parts, a.At) {
			crashes = append(crashes, a.Crash)
		}
	}
	l.ReportCrash(crashes...)
}

// describe describes the attempt and the end of its server for the log.
func (a Attempt) describe(now time.Time) string {
	how := "broke off"
	if a.Cut {
		how = "was cut"
	}
	out := fmt.Sprintf("the attempt %s after %v, the end was seen %v later, parts %s", how,
		a.At.Sub(a.Sent).Round(time.Millisecond), now.Sub(a.At).Round(time.Millisecond), strings.Join(a.Parts, " "))
	if a.Detail != "" {
		out += ", " + a.Detail
	}
	return out
}
