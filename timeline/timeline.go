// Package timeline merges the events of several instances into one ordered timeline, and explains what happened to a
// request.
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

// maxConcurrentReads is the maximum number of instances that Collect reads at the same time.
const maxConcurrentReads = 16

// timeLayout formats times with microseconds.
const timeLayout = "2006-01-02 15:04:05.000000"

// Filter selects events. A field with its zero value selects all.
type Filter struct {
	Request string        // ID of the request; events of its attempts are included
	MaxAge  time.Duration // maximum age of an event by its wall-clock time
}

// Path returns the path and query with which to request the selected events from an admin listener.
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

// Apply returns the selected events. It reuses the given slice.
func (f Filter) Apply(events []event.Event, now time.Time) []event.Event {
	return slices.DeleteFunc(events, func(e event.Event) bool {
		return f.Request != "" && !belongsToRequest(e.Request, f.Request) || f.MaxAge > 0 && now.Sub(e.Time) > f.MaxAge
	})
}

// belongsToRequest reports whether id is the ID of the request or of one of its attempts ("ID-1").
func belongsToRequest(id, request string) bool {
	request = event.ShortRequestID(request)
	return id == request || strings.HasPrefix(id, request+"-")
}

// Merge merges the events of several instances into one order, in which causes come before their effects.
func Merge(lists ...[]event.Event) []event.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Sequence, b.Sequence))
	})
	return all
}

// Collect reads the events of the instances at all addresses and merges them. It returns the events that it could read,
// with an error for each address where the read failed.
func Collect(
	ctx context.Context, addresses []string, read func(ctx context.Context, address string) ([]event.Event, error),
) ([]event.Event, []error) {
	lists := make([][]event.Event, len(addresses))
	failures := make([]error, len(addresses))
	slots := make(chan struct{}, maxConcurrentReads)
	var reads sync.WaitGroup
	for n, address := range addresses {
		slots <- struct{}{}
		reads.Go(func() {
			lists[n], failures[n] = read(ctx, address)
			<-slots
		})
	}
	reads.Wait()
	return Merge(lists...), slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// WriteText writes the events as text, one on each line.
func WriteText(out io.Writer, events []event.Event) error {
	for _, e := range events {
		line := fmt.Sprintf("%s %-12s %d %-20s", e.Stamp.Time().Format(timeLayout), e.Instance, e.Code, e.Name)
		for _, field := range []struct{ name, value string }{
			{"request", e.Request}, {"account", e.Account}, {"server", e.Server}, {"detail", e.Detail},
		} {
			if field.value != "" {
				line += fmt.Sprintf(" %s=%q", field.name, field.value)
			}
		}
		if _, err := fmt.Fprintln(out, strings.TrimRight(line, " ")); err != nil {
			return fmt.Errorf("timeline: unable to write the events: %w", err)
		}
	}
	return nil
}
