package event

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines bounds the lines that wait for a slow reader of the log, at most about a megabyte.
const queuedLines = 4096

// AsyncWriter writes lines of the log in the background. It never blocks: while its queue is full, lines are left out and
// counted, and the count is written once there is room.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64 // lines left out since the start
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer that runs until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line; it never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines left out since the start.
func (w *AsyncWriter) Dropped() uint64 { return w.total.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warning\",\"name\":\"lines-dropped\",\"count\":%d}\n", n), line...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // told with the next line that can be written
		}
	}
}

// Close writes what waits. Nothing may be written after it.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
