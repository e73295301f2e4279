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

// hurried is a model request whose caller leaves no time for its prompt.
func hurried(id string) ask {
	a := draft(id)
	a.deadline = 100 * time.Millisecond
	return a
}

// Replays three kinds of failed requests on the emulator, and finds their causes from the log alone.
func TestLogsTellWhyRequestsFailed(t *testing.T) {
	cases := []struct {
		name    string
		request ask
		faults  func(w *world)
		outcome string
		cause   string
	}{
		{
			"an order whose outcome is unknown", order("x"),
			func(w *world) { all(w.plain, backend.Faults{LoseAnswer: true}) },
			"failed; it may have run", "no answer of 10.0.0.",
		},
		{
			"a stream that broke off", draft("x"),
			func(w *world) { all(w.decode, backend.Faults{BreakAfter: 3}) },
			"broken off", "the stream broke off",
		},
		{
			"a request refused inside its rate", hurried("x"),
			func(*world) {},
			"refused; it has not run", "shed by i1",
		},
		{
			"a failure of the server's own", order("x"),
			func(w *world) { all(w.plain, backend.Faults{Fail: true}) },
			"failure of the backend server's own", "status 500",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				var out bytes.Buffer
				log := logrus.New()
				log.SetOutput(&out)
				log.SetFormatter(&logrus.JSONFormatter{})
				recorder := event.NewRecorder("i1", log)
				w.handler.Record = recorder.Record
				c.faults(w)
				w.ask(c.request)
				pass(20 * time.Second)
				events, err := timeline.ReadLog(strings.NewReader(out.String()))
				if err != nil {
					t.Fatal(err)
				}
				story, ok := timeline.Explain(events, "x")
				if !ok || !strings.Contains(story.Outcome, c.outcome) || !strings.Contains(story.Cause, c.cause) {
					t.Errorf("unexpected story, got %q because of %q instead of %q and %q", story.Outcome, story.Cause, c.outcome, c.cause)
				}
			})
		})
	}
}
