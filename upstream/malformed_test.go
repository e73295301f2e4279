package upstream

import (
	"net/http"
	"strings"
	"testing"

	"teaselgate/response"
	"teaselgate/standin/wire"
)

func TestResponsesWithInvalidStatusesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidStatuses("Id: a\r\n", "text"))
}

func TestResponsesWithInvalidFieldNamesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidNames("Id: a\r\n", "text"))
}

func TestResponsesWithInvalidTrailersAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidTrailers("Id: a\r\n", "text"))
}

func TestResponsesWithControlBytesAreRefused(t *testing.T) {
	checkRefused(t, wire.ControlBytes("Id: a\r\n", "text"), "malformed MIME header")
}

// checkMalformed checks that each of some responses is refused, and that its connection is not used again.
func checkMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	checkRefused(t, responses, response.ErrMalformed.Error())
}

// checkRefused is checkMalformed for errors with the given reason.
func checkRefused(t *testing.T, responses map[string]string, reason string) {
	t.Helper()
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
				return wire.Answer{Text: text, AfterBody: true, End: wire.Keep}
			})
			p := NewPool()
			defer p.Close()
			p.RequestID = func(h http.Header) string { return h.Get(idHeader) }
			got, err := upload(t, p, server.Address, strings.NewReader("text"), 4)
			if err == nil || !strings.Contains(err.Error(), reason) {
				t.Errorf("unexpected result, got %q and error %v", got, err)
			}
			if p.popIdle(server.Address) != nil || server.Requests() != 1 {
				t.Errorf("the connection is kept, or %d requests were sent instead of 1", server.Requests())
			}
		})
	}
}
