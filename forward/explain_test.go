package forward

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/event"
	"teaselgate/standin/backend"
	"teaselgate/timeline"
)

// shortDeadlineRequest returns a model request whose deadline is too short for its prefill.
func shortDeadlineRequest(id string) testRequest {
	req := draftRequest(id)
	req.deadline = 100 * time.Millisecond
	return req
}

// Failed requests must be explainable from the log alone: timeline.Explain finds their outcome and cause.
func TestLogExplainsFailedRequests(t *testing.T) {
	cases := []struct {
		name    string
		request testRequest
		faults  func(env *testEnv)
		outcome string
		cause   string
	}{
		{
			"order with an unknown outcome", orderRequest("x"),
			func(env *testEnv) { setFaults(env.plain, backend.Faults{LoseResponse: true}) },
			"failed; it may have run", "no answer of 10.0.0.",
		},
		{
			"stream that broke off", draftRequest("x"),
			func(env *testEnv) { setFaults(env.decode, backend.Faults{AbortAfterEvents: 3}) },
			"broken off", "the stream broke off",
		},
		{
			"request whose deadline is too short", shortDeadlineRequest("x"),
			func(*testEnv) {},
			"refused; it has not run", "shed by i1",
		},
		{
			"error response of the server", orderRequest("x"),
			func(env *testEnv) { setFaults(env.plain, backend.Faults{Fail: true}) },
			"failure of the backend server's own", "status 500",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				var logged bytes.Buffer
				log := logrus.New()
				log.SetOutput(&logged)
				log.SetFormatter(&logrus.JSONFormatter{})
				recorder := event.NewRecorder("i1", log)
				env.handler.Record = recorder.Record
				c.faults(env)
				env.send(c.request)
				sleep(20 * time.Second)
				events, err := timeline.ReadLog(strings.NewReader(logged.String()))
				if err != nil {
					t.Fatal(err)
				}
				explanation, ok := timeline.Explain(events, "x")
				if !ok || !strings.Contains(explanation.Outcome, c.outcome) || !strings.Contains(explanation.Cause, c.cause) {
					t.Errorf("unexpected explanation, got outcome %q with cause %q instead of %q with cause %q",
						explanation.Outcome, explanation.Cause, c.outcome, c.cause)
				}
			})
		})
	}
}
