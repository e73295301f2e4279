// Package timeline joins the events of all instances into one ordered time line.
package timeline

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselgate/event"
)

// readers is the number of instances that are read at once.
const readers = 16

// timeLayout shows microseconds.
const timeLayout = "2006-01-02 15:04:05.000000"

// Filter picks events; empty fields let all pass.
type Filter struct {
	Request string
	MaxAge    time.Duration
}

// Path returns the path that reads the picked events from an admin listener.
func (f Filter) Path() string {
	query := url.Values{}
	if f.Request != "" {
		query.Set("request", f.Request)
	}
	if f.MaxAge > 0 {
		query.Set("last", f.MaxAge.String())
	}
	if len(query) == 0 {
		return "/events"
	}
	return "/events?" + query.Encode()
}

// Apply returns the events that pass.
func (f Filter) Apply(events []event.Event, now time.Time) []event.Event {
	return slices.DeleteFunc(events, func(e event.Event) bool {
		return f.Request != "" && !ofRequest(e.Request, f.Request) || f.MaxAge > 0 && now.Sub(e.Time) > f.MaxAge
	})
}

// ofRequest tells whether an event's id is the request's, or that of one of its attempts ("ID-1").
func ofRequest(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+"-")
}

// Merge orders the events of several instances: causes stand before what they caused.
func Merge(rings ...[]event.Event) []event.Event {
	all := slices.Concat(rings...)
	slices.SortStableFunc(all, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Sequence, b.Sequence))
	})
	return all
}

// Collect reads the rings at all addresses and merges them. It returns what it got, with an error for each address
// that did not answer.
func Collect(ctx context.Context, addresses []string, read func(ctx context.Context, address string) ([]event.Event, error)) ([]event.Event, []error) {
	rings := make([][]event.Event, len(addresses))
	failures := make([]error, len(addresses))
	slots := make(chan struct{}, readers)
	var running sync.WaitGroup
	for n, address := range addresses {
		slots <- struct{}{}
		running.Go(func() {
			rings[n], failures[n] = read(ctx, address)
			<-slots
		})
	}
	running.Wait()
	return Merge(rings...), slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// WriteText prints one event a line.
func WriteText(out io.Writer, events []event.Event) error {
	for _, e := range events {
		line := fmt.Sprintf("%s %-12s %d %-20s", e.Stamp.Time().Format(timeLayout), e.Instance, e.Code, e.Name)
		for _, f := range []struct{ name, value string }{
			{"request", e.Request}, {"account", e.Account}, {"server", e.Server}, {"detail", e.Detail},
		} {
			if f.value != "" {
				line += fmt.Sprintf(" %s=%q", f.name, f.value)
			}
		}
		if _, err := fmt.Fprintln(out, strings.TrimRight(line, " ")); err != nil {
			return fmt.Errorf("timeline: unable to write: %w", err)
		}
	}
	return nil
}
