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

var errEventTooLong = errors.New("forward: an event of the stream is too long")

// forwardStream forwards complete events as they arrive. A partial event before a connection failure is dropped, so
// that the stream can be resumed on another engine.
func (m *modelRequest) forwardStream(
	resp *upstream.Response, placement *cell.Placement, report *cell.Report,
) attemptResult {
	if !m.headerSent {
		m.copyHeader(resp.Response)
		m.writer.WriteHeader(resp.StatusCode)
		m.headerSent = true
	}
	controller := http.NewResponseController(m.writer)
	reader := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			m.finish(placement.Decode.Server, fmt.Sprintf("%d events", m.eventsSent))
			return attemptResult{completed: true}
		}
		if err != nil {
			return attemptResult{serverFault: true, reason: fmt.Sprintf("the stream broke off after %d events: %v", m.events, err)}
		}
		m.events++
		m.reportBegun()
		first := report.Imported.IsZero()
		if first {
			report.Imported = m.handler.Now()
			m.handler.ObserveStage(metric.StageTransfer, report.Imported.Sub(report.Prefilled))
			placement.ReportProgress(*report)
		}
		id := eventID(event)
		if m.alreadySent(id) {
			continue
		}
		if _, err := m.writer.Write(event); err != nil {
			m.abort("unable to write the stream: " + err.Error())
		}
		if err := controller.Flush(); err != nil {
			m.abort("unable to write the stream: " + err.Error())
		}
		if id == "" {
			continue
		}
		m.lastEventID = id
		m.eventsSent++
		if !first { // the first event sets Imported, and Generated counts only the tokens after it
			report.Generated += m.service.Engine.TokensPerEvent
		}
	}
}

// alreadySent reports whether an event was sent to the caller before; a resumed stream may repeat events.
func (m *modelRequest) alreadySent(id string) bool {
	if id == "" || m.lastEventID == "" {
		return false
	}
	sequence, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(m.lastEventID, 10, 64)
	return err1 == nil && err2 == nil && sequence <= last
}

// readEvent returns the next event with the empty line that ends it. At the end of the stream it returns io.EOF, and
// io.ErrUnexpectedEOF if that is inside an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && endsWithBlankLine(event):
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// endsWithBlankLine reports whether an event ends with an empty line, and not with the second part of a line that was
// longer than the buffer.
func endsWithBlankLine(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) ||
		len(bytes.TrimRight(event, "\r\n")) == 0
}

// eventID returns the id of an event, or the empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
