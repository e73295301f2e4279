package event

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue in front of the output. With lines of 250 bytes, a full queue takes
// about a megabyte.
const maxQueuedLines = 4096

// AsyncWriter writes log lines in the background. Write never blocks: while the queue is full, lines are dropped and
// counted, and the count is written with the next line.
type AsyncWriter struct {
	out        io.Writer
	lines      chan []byte
	unreported atomic.Uint64 // dropped lines, and failed writes, that the log does not state yet
	dropped    atomic.Uint64 // lines dropped since the start because the queue was full
	closeOnce  sync.Once
	done       chan struct{}
}

// NewAsyncWriter returns a writer that runs until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.unreported.Add(1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start because the queue was full.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.unreported.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warning\",\"name\":\"lines-dropped\",\"count\":%d}\n", n), line...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.unreported.Add(1) // the next line that is written states it
		}
	}
}

// Close writes the queued lines and ends the writer. Write must not be called after Close.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}
