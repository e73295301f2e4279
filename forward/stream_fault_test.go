package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"teaselgate/standin/backend"
)

// wantStream is the complete stream of an emulated engine.
func wantStream(env *testEnv) string {
	var b strings.Builder
	for n := 1; n <= env.decode[0].StreamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// A stream that ends inside an event has been broken off, whatever its framing says.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		runInTestEnv(t, func(env *testEnv) {
			setFaults(env.decode, backend.Faults{EndAfterEvents: 3, Unframed: unframed})
			if got := env.send(draftRequest("draft")); !got.broken {
				t.Errorf("unframed %v: the stream ends as complete: %q", unframed, got.Body)
			}
			env.decode[0].SetFaults(backend.Faults{EndAfterEvents: 3, Unframed: unframed})
			env.decode[1].SetFaults(backend.Faults{Unframed: unframed})
			for n := range 6 {
				got := env.send(streamRequest("/digest/1", fmt.Sprint("digest", n)))
				if got.broken || got.Body.String() != wantStream(env) {
					t.Errorf("unframed %v: broken %v, resumed stream %q", unframed, got.broken, got.Body)
				}
			}
		})
	}
}

// A stream may have neither a length nor chunks and end with its connection.
func TestUnframedStreamsAreComplete(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		setFaults(env.decode, backend.Faults{Unframed: true})
		for n := range 6 {
			got := env.send(draftRequest(fmt.Sprint("draft", n)))
			if got.broken || got.Code != http.StatusOK || got.Body.String() != wantStream(env) {
				t.Errorf("status %d, broken %v: %q", got.Code, got.broken, got.Body)
			}
		}
	})
}
