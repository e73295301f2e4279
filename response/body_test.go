package response_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"teaselgate/response"
)

// failingReader fails with an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// Only io.EOF itself is the end of a body. An error that wraps it says that something ended too early.
func TestErrorsOfABodyAreNoEnd(t *testing.T) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []error{io.ErrUnexpectedEOF, fmt.Errorf("connection lost: %w", io.EOF)} {
		sending, _ := response.Track(req)
		resp := &http.Response{ProtoMajor: 1, ContentLength: 9, Body: io.NopCloser(failingReader{want})}
		body := response.NewBody(resp, sending)
		if _, err := body.Read(make([]byte, 9)); !errors.Is(err, want) || err == io.EOF { //nolint:errorlint // the end itself
			t.Errorf("unexpected error %v instead of %v", err, want)
		}
		body.Close()
	}
}

// The reason why a request was not sent must not look like the end of the response.
func TestReasonOfAnIncompleteResponseIsNoEnd(t *testing.T) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	sending, _ := response.Track(req)
	sending.Finish(fmt.Errorf("unable to read the upload: %w", io.EOF))
	resp := &http.Response{ProtoMajor: 1, ContentLength: -1, Body: http.NoBody}
	body := response.NewBody(resp, sending)
	defer body.Close()
	if _, err := body.Read(make([]byte, 9)); !errors.Is(err, response.ErrIncomplete) || errors.Is(err, io.EOF) {
		t.Errorf("unexpected error %v instead of %v", err, response.ErrIncomplete)
	}
}
