package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"teaselgate/event"
)

// trace is a file of the Chrome trace event format, which Perfetto and chrome://tracing open.
// Source: "Trace Event Format", the JSON object format.
type trace struct {
	Events []any  `json:"traceEvents"`
	Unit   string `json:"displayTimeUnit"`

	processes map[string]int // number by instance
	spans     map[string]*span
	order     []string // of the spans
}

// span is the time between a request's first and last event.
type span struct{ begin, end record }

// Phases of a record.
const (
	phaseInstant  = "i"
	phaseBegin    = "b" // of an asynchronous span
	phaseEnd      = "e"
	phaseMetadata = "M"
)

// record is one entry of a trace.
type record struct {
	Name     string       `json:"name"`
	Category string       `json:"cat,omitempty"`
	Phase    string       `json:"ph"`
	Time     float64      `json:"ts"` // microseconds
	Process  int          `json:"pid"`
	Thread   int          `json:"tid"`
	Scope    string       `json:"s,omitempty"`
	ID       string       `json:"id,omitempty"`
	Args     *event.Event `json:"args,omitempty"`
}

// nameRecord tells a viewer the name of a process.
type nameRecord struct {
	Name    string   `json:"name"`
	Phase   string   `json:"ph"`
	Process int      `json:"pid"`
	Args    nameArgs `json:"args"`
}

type nameArgs struct {
	Name string `json:"name"`
}

// WriteTrace writes events for trace viewers: one process per instance, one thread per duty, and a span from the
// first to the last event of each request.
func WriteTrace(out io.Writer, events []event.Event) error {
	t := trace{Unit: "ms", processes: make(map[string]int), spans: make(map[string]*span)}
	for _, e := range events {
		t.add(e)
	}
	for _, id := range t.order {
		t.Events = append(t.Events, t.spans[id].begin, t.spans[id].end)
	}
	if err := json.NewEncoder(out).Encode(t); err != nil {
		return fmt.Errorf("timeline: unable to write: %w", err)
	}
	return nil
}

// add appends an event and stretches the span of its request.
func (t *trace) add(e event.Event) {
	process, known := t.processes[e.Instance]
	if !known {
		process = len(t.processes) + 1
		t.processes[e.Instance] = process
		t.Events = append(t.Events, nameRecord{"process_name", phaseMetadata, process, nameArgs{e.Instance}})
	}
	r := instant(e, process)
	t.Events = append(t.Events, r)
	if e.Request == "" {
		return
	}
	id, _, _ := strings.Cut(e.Request, "-")
	if _, open := t.spans[id]; !open {
		t.spans[id] = &span{begin: spanRecord(r, id, phaseBegin)}
		t.order = append(t.order, id)
	}
	s := t.spans[id]
	s.end = spanRecord(r, id, phaseEnd)
	// Viewers pair the ends of a span only within one process.
	s.end.Process = s.begin.Process
}

func instant(e event.Event, process int) record {
	return record{
		Name:     e.Name,
		Category: "event",
		Phase:    phaseInstant,
		Time:     e.Stamp.Micros(),
		Process:  process,
		Thread:   e.Code.Category(),
		Scope:    "t",
		Args:     &e,
	}
}

func spanRecord(r record, id, phase string) record {
	return record{Name: "request", Category: "request", Phase: phase, Time: r.Time, Process: r.Process, Thread: r.Thread, ID: id}
}
