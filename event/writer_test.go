package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// stuckReader takes nothing until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

// Write implements io.Writer.
func (s *stuckReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestASlowReaderOfTheLogDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckReader{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		const lines = 3 * queuedLines
		for range lines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if w.Dropped() < lines-queuedLines-1 {
			t.Errorf("%d lines were left out, fewer than do not fit", w.Dropped())
		}
		close(out.release)
		synctest.Wait()
		if _, err := w.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		text := out.text.String()
		if !strings.Contains(text, `"name":"lines-dropped"`) || !strings.HasSuffix(text, "last\n") {
			t.Error("the log does not tell that lines were left out, or lacks the last one")
		}
	})
}
