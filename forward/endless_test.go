package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// toleratedBytes is the amount of a broken stream that may reach the caller.
const toleratedBytes = 1 << 20

// An engine sends bytes that are no events, or no events of the answer, without end. The stream must be broken off at
// once, visibly, and resumed elsewhere where that is allowed.
func TestEndlessStreamsAreBrokenOff(t *testing.T) {
	for _, junk := range []string{
		strings.Repeat("x", 4096), strings.Repeat("x\n", 2048), "\n\n", ": comment\n\n", "data: x\n\n", "id: 1\ndata: x\n\n",
		"id: x\ndata: x\n\n",
	} {
		t.Run(fmt.Sprintf("%.12q", junk), func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				setFaults(env.decode, backend.Faults{Endless: junk})
				got := env.send(draftRequest("draft"))
				if !got.broken && got.Code == http.StatusOK || got.took > 2*time.Second || got.Body.Len() > toleratedBytes {
					t.Errorf("status %d, broken %v, after %v with %d bytes", got.Code, got.broken, got.took, got.Body.Len())
				}
				setFaults(env.decode, backend.Faults{})
				env.decode[0].SetFaults(backend.Faults{Endless: junk})
				served := env.sendAll(10, 100*time.Millisecond, func(id string) testRequest { return streamRequest("/digest/1", id) })
				if served < 10 {
					t.Errorf("%d of 10 resumable streams were served by the sound engine", served)
				}
			})
		})
	}
}
