package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"teaselgate/event"
)

// maxLineBytes bounds a line of a log that is read.
const maxLineBytes = 1 << 20

// logLine is a line of an instance's log in JSON.
type logLine struct {
	Event    int         `json:"event"`
	Name     string      `json:"name"`
	Instance string      `json:"instance"`
	Request  string      `json:"request"`
	Account  string      `json:"account"`
	Server   string      `json:"server"`
	Detail   string      `json:"detail"`
	Stamp    event.Stamp `json:"stamp"`
	Time     time.Time   `json:"time"`
}

// ReadLog reads the events of logs in JSON, of one or of several instances. What stands before a line's first brace,
// such as a collector's prefix, is passed over, and so are lines that hold no event.
func ReadLog(r io.Reader) ([]event.Event, error) {
	var out []event.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		at := bytes.IndexByte(lines.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(lines.Bytes()[at:], &l) != nil || l.Event == 0 {
			continue
		}
		out = append(out, event.Event{
			Code: event.Code(l.Event), Name: l.Name, Time: l.Time, Stamp: l.Stamp, Instance: l.Instance,
			Request: l.Request, Account: l.Account, Server: l.Server, Detail: l.Detail,
		})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("timeline: unable to read the log: %w", err)
	}
	return out, nil
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string
	Events  []event.Event // of the request, in order
	Context []event.Event // the newest change of each server and instance in the story before its end
	Outcome string
	Cause   string
}

// Explain tells the story of one request from the events of all instances.
func Explain(events []event.Event, request string) (Explanation, bool) {
	s := Explanation{Request: request}
	all := Merge(events)
	for _, e := range all {
		if ofRequest(e.Request, request) {
			s.Events = append(s.Events, e)
		}
	}
	if len(s.Events) == 0 {
		return s, false
	}
	s.Context = contextOf(all, s.Events)
	s.Outcome, s.Cause = judge(s.Events)
	return s, true
}

// contextOf returns the newest event on each server of a story, and the newest on each of its instances that concerns
// no request, up to the story's end.
func contextOf(all, story []event.Event) []event.Event {
	servers, instances := make(map[string]bool), make(map[string]bool)
	for _, e := range story {
		instances[e.Instance] = true
		if e.Server != "" {
			servers[e.Server] = true
		}
	}
	end := story[len(story)-1].Stamp
	newest := make(map[string]event.Event)
	for _, e := range all {
		if e.Request != "" || e.Stamp > end {
			continue
		}
		switch {
		case servers[e.Server]:
			newest["server "+e.Server] = e
		case e.Server == "" && instances[e.Instance]:
			newest[fmt.Sprint("instance ", e.Instance, e.Code)] = e
		}
	}
	out := make([]event.Event, 0, len(newest))
	for _, e := range newest {
		out = append(out, e)
	}
	return Merge(out)
}

// judge names the outcome of a request and what caused it: the last thing that failed before its end.
func judge(story []event.Event) (outcome, cause string) {
	last := story[len(story)-1]
	for _, e := range slices.Backward(story) {
		if e.Code == event.RequestCompleted || e.Code == event.RequestRefused || e.Code == event.RequestCancelled {
			last = e
			break
		}
	}
	switch last.Code {
	case event.RequestCompleted:
		outcome = "answered"
		if strings.HasPrefix(last.Detail, "status 5") {
			outcome = "answered with a failure of the backend server's own"
		}
	case event.RequestRefused:
		outcome = "refused; it has not run"
		if strings.HasPrefix(last.Detail, "status 502") || strings.HasPrefix(last.Detail, "status 504") {
			outcome = "failed; it may have run"
		}
	case event.RequestCancelled:
		outcome = "ended by its caller, or broken off"
	default:
		outcome = "no end in these logs: the instance ended, or its lines are missing"
	}
	cause = last.Detail
	for _, e := range story {
		if e.Code == event.AttemptFailed && last.Code != event.RequestCompleted {
			cause = fmt.Sprintf("%s, at server %s", e.Detail, e.Server)
		}
	}
	return outcome, cause
}

// WriteExplanation writes a story for people.
func WriteExplanation(w io.Writer, s Explanation) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\ncause: %s\n\nwhat happened to it\n", s.Request, s.Outcome, s.Cause)
	for _, e := range s.Events {
		writeLine(&b, e)
	}
	b.WriteString("\nwhat was believed then\n")
	for _, e := range s.Context {
		writeLine(&b, e)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("timeline: unable to write the story: %w", err)
	}
	return nil
}

func writeLine(b *strings.Builder, e event.Event) {
	fmt.Fprintf(b, "  %s  %-20s %d %-18s %s %s\n", e.Time.UTC().Format("15:04:05.000"), e.Instance, int(e.Code), e.Name, e.Server, e.Detail)
}
