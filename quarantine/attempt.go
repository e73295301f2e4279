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
	Crash          // what to report if the server has ended
	Part    string // part that stands for the whole request
	Address string
	Sent    time.Time
	Cut     bool // whether this instance or the caller ended the attempt, and not the server
	Detail  string
	Refuses func(ctx context.Context, address string) bool // reports whether nothing listens at an address
}

// ReportNoAnswer finds out whether a server has ended under an attempt, or does so soon after. It checks the server of an
// attempt that broke off before it returns, so that a retry is decided with what that shows.
func (l *List) ReportNoAnswer(ctx context.Context, a Attempt) {
	a.At = l.Now()
	if !a.Cut && ctx.Err() == nil && a.Refuses(ctx, a.Address) {
		l.recordEnds([]Attempt{a})
		l.ReportCrash(a.Crash)
		return
	}
	l.watch.add(a)
}

// recordEnds records that a server has ended under attempts.
func (l *List) recordEnds(attempts []Attempt) {
	for _, a := range attempts {
		l.Record(event.Event{
			Code: event.ServerEnded, Request: a.Request, Account: a.Caller.Account, Server: a.Server, Detail: a.describe(l.Now()),
		})
	}
}

// describe describes the attempt and the end of its server for the log.
func (a Attempt) describe(now time.Time) string {
	how := "broke off"
	if a.Cut {
		how = "was cut"
	}
	out := fmt.Sprintf("the attempt %s after %v, the end was seen %v later, parts %s", how,
		a.At.Sub(a.Sent).Round(time.Millisecond), now.Sub(a.At).Round(time.Millisecond), strings.Join(append([]string{a.Part}, a.Parts...), " "))
	if a.Detail != "" {
		out += ", " + a.Detail
	}
	return out
}
