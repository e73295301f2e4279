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

// maxLogLineBytes is the maximum length of a log line that ReadLog accepts.
const maxLogLineBytes = 1 << 20

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

// ReadLog reads the events from JSON logs of one or several instances. It skips the text before a line's first brace,
// such as a log collector's prefix, and lines without an event.
func ReadLog(r io.Reader) ([]event.Event, error) {
	var out []event.Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal(scanner.Bytes()[start:], &line) != nil || line.Event == 0 {
			continue
		}
		out = append(out, event.Event{
			Code: event.Code(line.Event), Name: line.Name, Time: line.Time, Stamp: line.Stamp, Instance: line.Instance,
			Request: line.Request, Account: line.Account, Server: line.Server, Detail: line.Detail,
		})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("timeline: unable to read the log: %w", err)
	}
	return out, nil
}

// Explanation is what the logs say about one request.
type Explanation struct {
	Request string
	Events  []event.Event // events of the request and its attempts, ordered by stamp
	Context []event.Event // latest events of its servers and instances up to its last event; see findContext
	Outcome string
	Cause   string
}

// Explain determines from the events of all instances what happened to a request. It returns false if no event belongs
// to the request.
func Explain(events []event.Event, request string) (Explanation, bool) {
	explanation := Explanation{Request: request}
	all := Merge(events)
	for _, e := range all {
		if belongsToRequest(e.Request, request) {
			explanation.Events = append(explanation.Events, e)
		}
	}
	if len(explanation.Events) == 0 {
		return explanation, false
	}
	explanation.Context = findContext(all, explanation.Events)
	explanation.Outcome, explanation.Cause = determineOutcome(explanation.Events)
	return explanation, true
}

// findContext returns the events that show the state of a request's servers and instances at its last event: of each
// server the latest event, and of each instance the latest event of each kind that names no server. Events of requests
// are left out.
func findContext(all, requestEvents []event.Event) []event.Event {
	servers, instances := make(map[string]bool), make(map[string]bool)
	for _, e := range requestEvents {
		instances[e.Instance] = true
		if e.Server != "" {
			servers[e.Server] = true
		}
	}
	end := requestEvents[len(requestEvents)-1].Stamp
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

// determineOutcome returns the outcome of a request and its cause: the last failed attempt or, if the request was
// completed or no attempt failed, the detail of its final event.
func determineOutcome(requestEvents []event.Event) (outcome, cause string) {
	last := requestEvents[len(requestEvents)-1]
	for _, e := range slices.Backward(requestEvents) {
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
		outcome = "cancelled by the caller, or broken off"
	default:
		outcome = "unknown; these logs do not show its end, because the instance stopped or lines are missing"
	}
	cause = last.Detail
	for _, e := range requestEvents {
		if e.Code == event.AttemptFailed && last.Code != event.RequestCompleted {
			cause = fmt.Sprintf("%s, at server %s", e.Detail, e.Server)
		}
	}
	return outcome, cause
}

// WriteExplanation writes an explanation as text.
func WriteExplanation(w io.Writer, explanation Explanation) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\ncause: %s\n\nevents of the request\n",
		explanation.Request, explanation.Outcome, explanation.Cause)
	for _, e := range explanation.Events {
		writeEvent(&b, e)
	}
	b.WriteString("\nlatest events of its servers and instances until then\n")
	for _, e := range explanation.Context {
		writeEvent(&b, e)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("timeline: unable to write the explanation: %w", err)
	}
	return nil
}

func writeEvent(b *strings.Builder, e event.Event) {
	fmt.Fprintf(b, "  %s  %-20s %d %-18s %s %s\n",
		e.Time.UTC().Format("15:04:05.000"), e.Instance, int(e.Code), e.Name, e.Server, e.Detail)
}
