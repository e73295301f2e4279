package instance_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"teaselgate/standin/service"
)

// TestLargeBodiesAndTrailersAreForwardedComplete sends a body of several megabytes by each method that has one. The
// service's response repeats the body and ends with a trailer.
func TestLargeBodiesAndTrailersAreForwardedComplete(t *testing.T) {
	s := startSite(t)
	body := strings.Repeat("two lambs for the feast, ", 200_000)
	for _, path := range []string{"/orders", "/catalogue"} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
			req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addresses()[0]+path,
				strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+s.Keys()[accountName])
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			var echoed service.Response
			if err != nil || json.Unmarshal(text, &echoed) != nil ||
				echoed.Body != body || echoed.Method != method || echoed.Path != path {
				t.Errorf("unexpected response to %s %s: status %d, %d bytes, error %v",
					method, path, resp.StatusCode, len(text), err)
			}
			if got := resp.Trailer.Get("Service-Check"); got != "whole" {
				t.Errorf("unexpected trailer of %s %s, got %q instead of %q", method, path, got, "whole")
			}
		}
	}
	http.DefaultClient.CloseIdleConnections()
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}
