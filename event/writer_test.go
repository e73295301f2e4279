package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"teaselgate/standin/bubble"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestWriteDoesNotBlockOnSlowOutput(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		const lines = 3 * maxQueuedLines
		for range lines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if w.Dropped() < lines-maxQueuedLines-1 {
			t.Errorf("unexpected number of dropped lines, got %d, too few for a full queue", w.Dropped())
		}
		close(out.release)
		synctest.Wait()
		if _, err := w.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		text := out.written.String()
		if !strings.Contains(text, `"name":"lines-dropped"`) || !strings.HasSuffix(text, "last\n") {
			t.Error("unexpected log without the number of dropped lines, or without the last line")
		}
	})
}
