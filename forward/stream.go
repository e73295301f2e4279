package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"teaselgate/cell"
	"teaselgate/metric"
	"teaselgate/upstream"
)

// Limits of streams.
const (
	streamBufferBytes = 4 << 10
	maxEventBytes     = 256 << 10
)

var errLongEvent = errors.New("forward: an event of the stream is too long")

// passStream passes whole events on as they come. What a server made of an event before it broke off is not passed
// on, so that the stream can go on elsewhere.
func (m *modelRun) passStream(resp *upstream.Response, place *cell.Placement, report *cell.Report) ending {
	if !m.begun {
		m.begin(resp.Response)
		m.out.WriteHeader(resp.StatusCode)
		m.begun = true
	}
	control := http.NewResponseController(m.out)
	reader := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	for {
		text, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			m.done(place.Decode.Server, fmt.Sprintf("%d events", m.events))
			return ending{answered: true}
		}
		if err != nil {
			return ending{failed: true, reason: "the stream broke off: " + err.Error()}
		}
		first := report.Imported.IsZero()
		if first {
			report.Imported = m.handler.Now()
			m.handler.ObserveStage(metric.StageTransfer, report.Imported.Sub(report.Prefilled))
			place.ReportProgress(*report)
		}
		id := eventID(text)
		if m.has(id) {
			continue
		}
		if _, err := m.out.Write(text); err != nil {
			m.cancelled("the stream was not taken: " + err.Error())
		}
		if err := control.Flush(); err != nil {
			m.cancelled("the stream was not taken: " + err.Error())
		}
		if id == "" {
			continue
		}
		m.event = id
		m.events++
		if !first {
			report.Generated += m.service.Engine.TokensPerEvent
		}
	}
}

// has tells whether the caller has an event already, which a stream that was resumed may repeat.
func (m *modelRun) has(id string) bool {
	if id == "" || m.event == "" {
		return false
	}
	got, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(m.event, 10, 64)
	return err1 == nil && err2 == nil && got <= last
}

// readEvent returns the next event with the empty line that ends it. The last bytes of a whole answer may lack that
// line; io.EOF comes after them.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var out []byte
	for {
		line, err := r.ReadSlice('\n')
		out = append(out, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(out) > 0:
			return out, nil
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(out):
			return out, nil
		}
		if len(out) > maxEventBytes {
			return nil, errLongEvent
		}
	}
}

// endsLine tells whether an event ends with an empty line and not with the end of a line that came in two parts.
func endsLine(text []byte) bool {
	return bytes.HasSuffix(text, []byte("\n\n")) || bytes.HasSuffix(text, []byte("\n\r\n")) || len(bytes.TrimRight(text, "\r\n")) == 0
}

// eventID returns the id of an event, empty if it has none.
func eventID(text []byte) string {
	for line := range bytes.Lines(text) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
