package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"teaselgate/cell"
	"teaselgate/rule"
	"teaselgate/slot"
	"teaselgate/standin/backend"
)

// pauses are times for which a process stands still between the choice of a server and the sending of the request.
var pauses = []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 12 * time.Second}

// replaceServers gives the address of each server to a new one, as after their end.
func (env *testEnv) replaceServers(servers []*backend.Server) {
	for _, s := range servers {
		at := env.address(s)
		next := &backend.Server{
			ID: s.ID + "-next", Stage: s.Stage, Slots: 4, QueueLimit: 4, ServiceTime: 15 * time.Millisecond, PrefillRate: 33333,
			HandleLifetime: time.Second, KVTokens: 16000, StreamEvents: 10, EventInterval: 40 * time.Millisecond, FindServer: s.FindServer,
		}
		env.mu.Lock()
		env.servers[at] = next.Init()
		env.mu.Unlock()
	}
}

// The process is paused after it has chosen a server from its list. Meanwhile the address has gone to another server. The
// request must not run there, and what its caller is told must be true.
func TestRequestAfterAPauseRunsAtNoOtherServer(t *testing.T) {
	for _, pause := range pauses {
		runInTestEnv(t, func(env *testEnv) {
			pick, place := env.handler.PickServer, env.handler.Place
			stand := func(servers ...[]*backend.Server) {
				if pause == 0 {
					return
				}
				for _, s := range servers {
					env.replaceServers(s)
				}
				sleep(pause)
			}
			env.handler.PickServer = func(ctx context.Context, pool string, ask slot.Ask) (rule.Server, error) {
				defer stand(env.plain)
				return pick(ctx, pool, ask)
			}
			env.handler.Place = func(ctx context.Context, r cell.Request) (*cell.Placement, error) {
				defer stand(env.prefill, env.decode)
				return place(ctx, r)
			}
			before := []*backend.Server{env.plain[0], env.plain[1], env.plain[2], env.decode[0], env.decode[1]}
			for _, req := range []testRequest{orderRequest("order"), statusRequest("status"), draftRequest("draft")} {
				got := env.send(req)
				runs := runCount(before, req.id)
				env.mu.Lock()
				for _, s := range env.servers {
					if s.ID[len(s.ID)-1] == 't' {
						runs += 100 * s.Runs(req.id)
					}
				}
				env.mu.Unlock()
				told := fmt.Sprint("status ", got.Code, ", ", runs, " runs")
				if pause == 0 && (got.Code != http.StatusOK || runs != 1) {
					t.Errorf("%s without a pause: %s", req.id, told)
				}
				if pause > 0 && (runs > 0 || got.Code == http.StatusOK) {
					t.Errorf("%s after a pause of %v: %s", req.id, pause, told)
				}
			}
		})
	}
}
