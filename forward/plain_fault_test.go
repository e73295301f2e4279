package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"teaselgate/standin/backend"
)

// A server sends a body without end and without a length. The caller must see that the response broke off, soon, and
// the bytes must not fill the memory.
func TestEndlessPlainResponsesAreBrokenOff(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		runInTestEnv(t, func(env *testEnv) {
			setFaults(env.plain, backend.Faults{Endless: strings.Repeat("x", 64<<10), Unframed: unframed})
			got := env.send(orderRequest("order"))
			if !got.broken || got.Body.Len() > maxUnframedBytes || got.took > env.plain[0].ServiceTime {
				t.Errorf("unframed %v: broken %v with %d bytes after %v", unframed, got.broken, got.Body.Len(), got.took)
			}
		})
	}
}

// Long responses of a server without a length are complete.
func TestLongPlainResponsesAreComplete(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		runInTestEnv(t, func(env *testEnv) {
			setFaults(env.plain, backend.Faults{LongBody: 3 << 20, Unframed: unframed})
			for n, req := range []testRequest{orderRequest("order"), statusRequest("status")} {
				got := env.send(req)
				if got.broken || got.Code != http.StatusOK || got.Body.Len() != 3<<20 {
					t.Errorf("unframed %v, request %d: status %d, broken %v, %d bytes", unframed, n, got.Code, got.broken, got.Body.Len())
				}
			}
		})
	}
}

// An engine's failure with a long body is no answer to forward in part.
func TestLongFailuresOfEnginesAreNotCut(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, size := range []int{100, maxBufferedBytes, maxBufferedBytes + 1} {
			setFaults(env.decode, backend.Faults{Fail: true, LongBody: size})
			got := env.send(draftRequest(fmt.Sprint("draft", size)))
			whole := got.Code == http.StatusInternalServerError && got.Body.Len() == size
			if !whole && got.Code != http.StatusBadGateway {
				t.Errorf("%d bytes: status %d with %d bytes", size, got.Code, got.Body.Len())
			}
		}
	})
}
