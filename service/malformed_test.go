package service

import (
	"net/http"
	"strings"
	"testing"

	"teaselgate/response"
	"teaselgate/standin/wire"
)

func TestResponsesWithInvalidStatusesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidStatuses("", "text"))
}

func TestResponsesWithInvalidFieldNamesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidNames("", "text"))
}

func TestResponsesWithInvalidTrailersAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidTrailers("", "text"))
}

func TestResponsesWithControlBytesAreRefused(t *testing.T) {
	checkRefused(t, wire.ControlBytes("", "text"), "malformed MIME header")
}

// checkMalformed checks that each of some responses is refused, and that the client doesn't send a request again.
func checkMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	checkRefused(t, responses, response.ErrMalformed.Error())
}

// checkRefused is checkMalformed for errors with the given reason.
func checkRefused(t *testing.T, responses map[string]string, reason string) {
	t.Helper()
	for name, text := range responses {
		for way, send := range senders {
			t.Run(way+" "+name, func(t *testing.T) {
				server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
					return wire.Answer{Text: text, AfterBody: true, End: wire.Keep}
				})
				got, err := upload(t, send, server.Address, strings.NewReader("lamb"), 4)
				if err == nil || !strings.Contains(err.Error(), reason) {
					t.Errorf("unexpected result, got %q and error %v", got, err)
				}
				if server.Requests() != 1 {
					t.Errorf("%d requests were sent instead of 1", server.Requests())
				}
			})
		}
	}
}
