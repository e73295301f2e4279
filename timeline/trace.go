package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"teaselgate/event"
)

// trace is a file in the Chrome trace event format ("Trace Event Format", JSON object format), which Perfetto and
// chrome://tracing can open.
type trace struct {
	Events []any  `json:"traceEvents"`
	Unit   string `json:"displayTimeUnit"`

	processes map[string]int          // process number by instance
	spans     map[string]*requestSpan // by request ID
	spanOrder []string                // request IDs in the order of their first events
}

// requestSpan is the time between a request's first and last event, as the two records that mark it.
type requestSpan struct{ begin, end traceRecord }

// Phases of a trace record.
const (
	phaseInstant  = "i"
	phaseBegin    = "b" // start of an asynchronous span
	phaseEnd      = "e" // end of an asynchronous span
	phaseMetadata = "M"
)

// traceRecord is one entry of a trace.
type traceRecord struct {
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

// processNameRecord is the metadata record that names a process.
type processNameRecord struct {
	Name    string          `json:"name"`
	Phase   string          `json:"ph"`
	Process int             `json:"pid"`
	Args    processNameArgs `json:"args"`
}

type processNameArgs struct {
	Name string `json:"name"`
}

// WriteTrace writes events for trace viewers: one process per instance, one thread per event category, and a span
// from the first to the last event of each request.
func WriteTrace(out io.Writer, events []event.Event) error {
	t := trace{Unit: "ms", processes: make(map[string]int), spans: make(map[string]*requestSpan)}
	for _, e := range events {
		t.add(e)
	}
	for _, id := range t.spanOrder {
		t.Events = append(t.Events, t.spans[id].begin, t.spans[id].end)
	}
	if err := json.NewEncoder(out).Encode(t); err != nil {
		return fmt.Errorf("timeline: unable to write the trace: %w", err)
	}
	return nil
}

// add appends the record of an event and extends the span of the event's request to the time of the event.
func (t *trace) add(e event.Event) {
	process, exists := t.processes[e.Instance]
	if !exists {
		process = len(t.processes) + 1
		t.processes[e.Instance] = process
		t.Events = append(t.Events, processNameRecord{"process_name", phaseMetadata, process, processNameArgs{e.Instance}})
	}
	r := newInstantRecord(e, process)
	t.Events = append(t.Events, r)
	if e.Request == "" {
		return
	}
	id, _, _ := strings.Cut(e.Request, "-")
	if _, exists := t.spans[id]; !exists {
		t.spans[id] = &requestSpan{begin: newSpanRecord(r, id, phaseBegin)}
		t.spanOrder = append(t.spanOrder, id)
	}
	span := t.spans[id]
	span.end = newSpanRecord(r, id, phaseEnd)
	// Viewers match the begin and end of a span only within one process.
	span.end.Process = span.begin.Process
}

func newInstantRecord(e event.Event, process int) traceRecord {
	return traceRecord{
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

func newSpanRecord(r traceRecord, id, phase string) traceRecord {
	return traceRecord{Name: "request", Category: "request", Phase: phase, Time: r.Time, Process: r.Process, Thread: r.Thread, ID: id}
}
