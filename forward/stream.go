package forward

import (
	"bufio"
	"bytes"
	"context"
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
	spareEvents       = 16 // events beyond the tokens that an answer may have: empty ones, and one at the end
)

var errEventTooLong = errors.New("forward: an event of the stream is too long")

// forwardStream forwards complete events as they arrive. A partial event before a connection failure is dropped, so
// that the stream can be resumed on another engine.
func (m *modelRequest) forwardStream(
	ctx context.Context, resp *upstream.Response, placement *cell.Placement, report *cell.Report,
) attemptResult {
	if !m.headerSent {
		m.copyHeader(resp.Response)
		m.writer.WriteHeader(resp.StatusCode)
		m.headerSent = true
	}
	controller := http.NewResponseController(m.writer)
	reader := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	for received := 1; ; received++ {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			m.reportEnded()
			m.finish(placement.Decode.Server, fmt.Sprintf("%d events", m.eventsSent))
			return attemptResult{completed: true}
		}
		if err != nil {
			return brokenOff(ctx, fmt.Sprintf("the stream broke off after %d events: %v", m.events, err))
		}
		if received > m.maxEvents() {
			return attemptResult{serverFault: true, reason: "the stream goes on beyond the largest answer"}
		}
		if isEmptyEvent(event) {
			continue
		}
		id, ok := eventID(event)
		if !ok {
			return attemptResult{serverFault: true, reason: "the stream has an event without a number"}
		}
		m.events++
		m.reportBegun()
		first := report.Imported.IsZero()
		if first {
			report.Imported = m.handler.Now()
			m.handler.ObserveStage(metric.StageTransfer, report.Imported.Sub(report.Prefilled))
			placement.ReportProgress(*report)
		}
		if id < m.nextEvent {
			continue // a resumed stream may repeat events
		}
		if _, err := m.writer.Write(event); err != nil {
			m.reportEngine(ctx, attemptResult{noAnswer: true, cut: true})
			m.abort("unable to write the stream: " + err.Error())
		}
		if err := controller.Flush(); err != nil {
			m.reportEngine(ctx, attemptResult{noAnswer: true, cut: true})
			m.abort("unable to write the stream: " + err.Error())
		}
		m.nextEvent = id + 1
		m.eventsSent++
		if !first { // the first event sets Imported, and Generated counts only the tokens after it
			report.Generated += m.service.Engine.TokensPerEvent
		}
	}
}

// lastEventID returns the id of the last event sent to the caller, or an empty string if there is none.
func (m *modelRequest) lastEventID() string {
	if m.nextEvent == 0 {
		return ""
	}
	return strconv.FormatInt(m.nextEvent-1, 10)
}

// maxEvents returns the number of events that an attempt may have: each has a token at least.
func (m *modelRequest) maxEvents() int { return max(m.MaxOutputTokens, 1) + spareEvents }

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

// isEmptyEvent reports whether an event has only empty lines and comments, which say nothing.
func isEmptyEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventID returns the id of an event, a number. It returns false if the event has none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			return id, err == nil && id >= 0
		}
	}
	return 0, false
}
