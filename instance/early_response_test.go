package instance_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/caller"
	"teaselgate/standin/wire"
)

// A server answers a long upload early, without a length, and ends the connection before it has read the upload. The part
// that has come is no answer: a request that may run once fails and is not sent again, and an idempotent one is answered by
// another server.
func TestEarlyResponsesThatEndWithTheConnectionAreNoAnswers(t *testing.T) {
	for _, name := range []string{"reset", "closed", "half ended"} {
		t.Run(name+", once", func(t *testing.T) {
			if failures := sendUntilAnsweredEarly(t, "/order/", name); failures != 1 {
				t.Errorf("%d requests failed instead of 1", failures)
			}
		})
		t.Run(name+", idempotent", func(t *testing.T) {
			if failures := sendUntilAnsweredEarly(t, "/status/", name); failures != 0 {
				t.Errorf("%d requests failed instead of 0", failures)
			}
		})
	}
}

// sendUntilAnsweredEarly sends long requests to a site until the server that answers early, as the name says, has got one, and
// returns the number of requests that failed.
func sendUntilAnsweredEarly(t *testing.T, path, early string) (failures int) {
	t.Helper()
	s := startStoreSite(t)
	s.allowLongRequests(t, wire.UploadBytes)
	s.addSoundServer(t, "s0")
	server := wire.NewServer(t, func(_ int64, r *http.Request) wire.Answer {
		fields := "Attempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nResponse-Seal: seal\r\n"
		return wire.EarlyAnswers(fields, wire.PartialText)[early].Answer
	})
	s.replaceAddress(t, "s0", func(string) string { return server.Address })
	body := wire.Upload(wire.UploadBytes)
	for n := 0; server.Requests() == 0; n++ {
		if n == maxPolls {
			t.Fatalf("the server got none of %d requests", n)
		}
		status, text := s.postBody(t, path, caller.Request{ID: fmt.Sprint("request-", n), Key: accountKey}, body)
		if status != http.StatusOK {
			failures++
		}
		if strings.Contains(text, wire.PartialText) || status != http.StatusOK && text != "" {
			t.Errorf("unexpected answer, got status %d and %q", status, text)
		}
	}
	if server.Requests() != 1 {
		t.Errorf("the server got %d requests instead of 1", server.Requests())
	}
	return failures
}

// longRequestTime is the time that a long request may take.
const longRequestTime = 5 * time.Second

// allowLongRequests allows request bodies up to a number of bytes, and the time to send them.
func (s *storeTestSite) allowLongRequests(t *testing.T, length int) {
	t.Helper()
	stored, err := s.client.Get(t.Context(), platform.ConfigurationKind, platform.ConfigurationName)
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(stored.Data, &document); err != nil {
		t.Fatal(err)
	}
	document["version"] = 2
	document["limits"] = map[string]any{"maxBodyBytes": length}
	for _, route := range document["routes"].([]any) {
		fields := route.(map[string]any)
		fields["timeoutMs"], fields["targetLatencyMs"] = longRequestTime.Milliseconds(), longRequestTime.Milliseconds()
	}
	if _, err := s.client.Update(
		t.Context(), platform.ConfigurationKind, platform.ConfigurationName, stored.Version, document,
	); err != nil {
		t.Fatal(err)
	}
	for n := 0; ; n++ {
		status, _ := s.postBody(t, "/order/", caller.Request{ID: "long", Key: accountKey}, wire.Upload(length))
		if status == http.StatusOK {
			return
		}
		if n == maxPolls {
			t.Fatalf("unexpected status %d of a long request", status)
		}
		<-time.After(pollInterval)
	}
}
