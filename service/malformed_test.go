package service

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"teaselgate/response"
	"teaselgate/standin/wire"
)

func TestResponsesWithInvalidStatusesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidStatuses("", "text"))
}

// checkMalformed checks that each of some responses is refused, and that the client doesn't send a request again.
func checkMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, text := range responses {
		for way, send := range senders {
			t.Run(way+" "+name, func(t *testing.T) {
				server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
					return wire.Answer{Text: text, AfterBody: true, End: wire.Keep}
				})
				got, err := upload(t, send, server.Address, strings.NewReader("lamb"), 4)
				if !errors.Is(err, ErrIncomplete) || !strings.Contains(err.Error(), response.ErrMalformed.Error()) {
					t.Errorf("unexpected result, got %q and error %v", got, err)
				}
				if server.Requests() != 1 {
					t.Errorf("%d requests were sent instead of 1", server.Requests())
				}
			})
		}
	}
}
