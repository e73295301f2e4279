package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/standin/wire"
)

func TestResponsesWithInvalidStatusesReachNoCaller(t *testing.T) {
	checkMalformed(t, wire.InvalidStatuses("", "text"))
}

func TestResponsesWithInvalidFieldNamesReachNoCaller(t *testing.T) {
	checkMalformed(t, wire.InvalidNames("", "text"))
}

// checkMalformed checks what callers get where the first server sends a malformed response and the second a sound one: a
// request that may run once is not sent again and its outcome is unknown, and an idempotent one is answered by the
// second server.
func checkMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, text := range responses {
		for _, test := range []struct {
			path      string
			status    int
			outcome   outcome.Outcome
			log       event.Code
			malformed int64 // requests that reached the server of malformed responses
			sound     int   // requests that reached the other one
		}{
			{"/once", http.StatusBadGateway, outcome.Unknown, event.AtMostOnceOutcomeUnknown, 1, 0},
			{"/read", http.StatusOK, "", event.AttemptFailed, 1, 1},
		} {
			t.Run(name+" "+test.path, func(t *testing.T) {
				malformed := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
					return wire.Answer{Text: text, AfterBody: true, End: wire.Keep}
				})
				sound := &backend{}
				soundServer := httptest.NewServer(sound)
				defer soundServer.Close()
				h := newChargingHandler(t, 1000, "")
				var codes []event.Code
				h.Record = func(e event.Event) { codes = append(codes, e.Code) }
				h.PickServer = func(_ string, tried []string) (rule.Server, error) {
					address := malformed.Address
					if len(tried) > 0 {
						address = strings.TrimPrefix(soundServer.URL, "http://")
					}
					return rule.Server{Server: fmt.Sprint("s", len(tried)), At: address}, nil
				}
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, test.path, strings.NewReader("lamb"))
				r.Header.Set("Authorization", "Bearer "+testSecret)
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				if got := outcome.Outcome(w.Header().Get(outcome.Header)); w.Code != test.status || got != test.outcome {
					t.Errorf("unexpected answer, got status %d, outcome %q and %q", w.Code, got, w.Body)
				}
				if !slices.Contains(codes, test.log) {
					t.Errorf("unexpected events, got %v without %v", codes, test.log)
				}
				if _, runs := sound.takeSeen(); malformed.Requests() != test.malformed || runs != test.sound {
					t.Errorf("%d and %d requests were sent instead of %d and %d", malformed.Requests(), runs, test.malformed, test.sound)
				}
			})
		}
	}
}
