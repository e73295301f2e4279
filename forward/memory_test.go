package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/limit"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// slowWriter is the connection of a caller that reads nothing until it is released.
type slowWriter struct {
	*httptest.ResponseRecorder
	released chan struct{}
}

// Write implements io.Writer.
func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.ResponseRecorder.Write(p)
}

// Slow callers must not fill the memory of the instance with their responses: without memory for one, it is read from its
// server only as fast as the caller reads. Each caller gets its whole response all the same, and the memory is given back.
func TestResponsesOfSlowCallersStayWithinTheMemory(t *testing.T) {
	const callers, length, memory = 6, 200_000, 450_000
	runInTestEnv(t, func(env *testEnv) {
		setFaults(env.plain, backend.Faults{LongBody: length})
		env.handler.Memory = limit.NewMemory(memory)
		released := make(chan struct{})
		writers := make([]*slowWriter, callers)
		done := make(chan struct{}, callers)
		for n := range writers {
			w := &slowWriter{httptest.NewRecorder(), released}
			writers[n] = w
			req := statusRequest(fmt.Sprint("r", n))
			r := httptest.NewRequest(req.method, "http://"+caller.Host+req.path, strings.NewReader(""))
			caller.Request{ID: req.id, Key: req.key, Deadline: 20 * time.Second}.SetHeaders(r.Header)
			go func() {
				env.handler.ServeHTTP(w, r)
				done <- struct{}{}
			}()
		}
		sleep(400 * time.Millisecond)
		const perCaller = 32 << 10 // buffers of the connection and of the copy
		if read := env.bytesRead.Load(); read > memory+callers*perCaller {
			t.Errorf("%d bytes were read for callers that read nothing, with a memory of %d", read, memory)
		}
		if used := env.handler.Memory.Used(); used > memory || used == 0 {
			t.Errorf("%d bytes of memory are in use", used)
		}
		close(released)
		for range callers {
			<-done
		}
		for n, w := range writers {
			if w.Code != http.StatusOK || w.Body.Len() != length {
				t.Errorf("caller %d got status %d and %d bytes", n, w.Code, w.Body.Len())
			}
		}
		if used := env.handler.Memory.Used(); used != 0 {
			t.Errorf("%d bytes of memory are in use after all", used)
		}
	})
}
