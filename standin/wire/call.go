package wire

import (
	"maps"
	"net/http"
	"testing"
)

// MalformedHeads returns the responses of InvalidStatuses, InvalidNames and ControlBytes that calls must refuse, whether or
// not they read the body to its end.
func MalformedHeads(fields, body string) map[string]string {
	all := InvalidStatuses(fields, body)
	maps.Copy(all, InvalidNames(fields, body))
	maps.Copy(all, ControlBytes(fields, body))
	delete(all, "control byte in a trailer")
	return all
}

// CheckCall checks that a call to a server fails with each of some responses, and is sent once.
func CheckCall(t *testing.T, responses map[string]string, call func(address string) error) {
	t.Helper()
	for name, text := range responses {
		server := NewServer(t, func(int64, *http.Request) Answer {
			return Answer{Text: text, AfterBody: true, End: Keep}
		})
		if err := call(server.Address); err == nil {
			t.Errorf("%s: the response was taken for sound", name)
		}
		if n := server.Requests(); n != 1 {
			t.Errorf("%s: %d requests were sent instead of 1", name, n)
		}
	}
}

// CheckEarly checks that a call with a long request fails, and is sent once, if the server answers before it has read the
// request, without a length, and ends the connection. The body of the answer is one that the call accepts.
func CheckEarly(t *testing.T, fields, body string, call func(address, upload string) error) {
	t.Helper()
	for name, early := range EarlyAnswers(fields, body) {
		server := NewServer(t, func(int64, *http.Request) Answer { return early.Answer })
		if err := call(server.Address, Upload(early.Length)); err == nil {
			t.Errorf("%s: the response was taken for whole", name)
		}
		if n := server.Requests(); n != 1 {
			t.Errorf("%s: %d requests were sent instead of 1", name, n)
		}
	}
}

// CheckUnframed checks that a call succeeds with a response that has neither a length nor chunks, and ends with its
// connection after the whole request.
func CheckUnframed(t *testing.T, fields, body string, call func(address string) error) {
	t.Helper()
	server := NewServer(t, func(int64, *http.Request) Answer {
		return Answer{Text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body, AfterBody: true}
	})
	if err := call(server.Address); err != nil {
		t.Errorf("unexpected error %v of a whole response without a length", err)
	}
}
