package timeline

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"teaselgate/event"
)

// writeLog returns the JSON log that instances write for the given events.
func writeLog(events ...event.Event) string {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	recorders := make(map[string]*event.Recorder)
	clock := event.NewClock()
	for _, e := range events {
		r, ok := recorders[e.Instance]
		if !ok {
			r = event.NewRecorder(e.Instance, log)
			r.Clock = clock
			recorders[e.Instance] = r
		}
		r.Record(e)
	}
	return out.String()
}

func TestExplainFindsOutcomeAndCause(t *testing.T) {
	cases := []struct {
		name    string
		events  []event.Event
		outcome string
		cause   string
		context string
	}{
		{
			"request with an unknown outcome",
			[]event.Event{
				{Code: event.ServerReady, Instance: "i1", Server: "s1", Detail: "plain of shop at 10.0.0.1:80, version 7"},
				{Code: event.RequestCompleted, Instance: "i2", Request: "other", Detail: "status 200"},
				{Code: event.AttemptFailed, Instance: "i1", Request: "x", Server: "s1", Detail: "upstream: no answer of 10.0.0.1:80"},
				{Code: event.RequestRefused, Instance: "i1", Request: "x", Detail: "status 502: upstream: no answer of 10.0.0.1:80"},
			},
			"failed; it may have run", "no answer of 10.0.0.1:80, at server s1", "server-ready",
		},
		{
			"stream that broke off",
			[]event.Event{
				{Code: event.RequestPlaced, Instance: "i1", Request: "x", Server: "d1", Detail: "prefill at p1"},
				{Code: event.AttemptFailed, Instance: "i1", Request: "x", Server: "d1", Detail: "the stream broke off: unexpected EOF"},
				{Code: event.ServerRemoved, Instance: "i1", Server: "d1", Detail: "version 9"},
				{Code: event.RequestCancelled, Instance: "i1", Request: "x", Detail: "the stream broke off: unexpected EOF"},
			},
			"broken off", "the stream broke off: unexpected EOF, at server d1", "server-gone",
		},
		{
			"request whose dispatcher was unreachable",
			[]event.Event{
				{Code: event.CellTakenOver, Instance: "i2", Detail: "llm"},
				{Code: event.DispatcherUnreachable, Instance: "i1", Request: "x-1", Server: "i3", Detail: "no answer"},
				{Code: event.RequestRefused, Instance: "i1", Request: "x", Detail: "status 503, back in 1s: cell: the request could not be answered in time"},
			},
			"refused; it has not run", "could not be answered in time", "",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			input := "collector prefix " + strings.ReplaceAll(writeLog(c.events...), "\n", "\nno event in this line\n")
			events, err := ReadLog(strings.NewReader(input))
			if err != nil {
				t.Fatal(err)
			}
			explanation, ok := Explain(events, "x")
			if !ok || !strings.Contains(explanation.Outcome, c.outcome) || !strings.Contains(explanation.Cause, c.cause) {
				t.Errorf("unexpected explanation, got outcome %q with cause %q", explanation.Outcome, explanation.Cause)
			}
			var out bytes.Buffer
			if err := WriteExplanation(&out, explanation); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out.String(), c.context) || strings.Contains(out.String(), "other") {
				t.Errorf("unexpected text:\n%s", out.String())
			}
		})
	}
}

func TestExplainRejectsUnknownRequest(t *testing.T) {
	if _, ok := Explain(nil, "x"); ok {
		t.Error("unexpected explanation of a request that is not in the logs")
	}
}
