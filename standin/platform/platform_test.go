package platform

import (
	"errors"
	"net/http/httptest"
	"testing"

	"golang.org/x/time/rate"

	api "teaselgate/platform"
)

func TestRateLimitRejectsCallsWithoutEffect(t *testing.T) {
	const allowed = 2
	s := NewServer("token")
	s.WriteLimit, s.ReadLimit = rate.NewLimiter(0, allowed), rate.NewLimiter(0, allowed)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := api.NewClient(server.URL, "token")
	defer client.HTTP.CloseIdleConnections()
	for n, name := range []string{"a", "b", "c"} {
		_, err := client.Create(t.Context(), "kind", name, n)
		if n < allowed && err != nil || n >= allowed && !errors.Is(err, api.ErrUnavailable) {
			t.Errorf("unexpected error of write %d: %v", n, err)
		}
	}
	list, err := client.List(t.Context(), "kind")
	if err != nil || len(list.Objects) != allowed {
		t.Errorf("unexpected objects, got %d and error %v instead of %d", len(list.Objects), err, allowed)
	}
	_, _ = client.List(t.Context(), "kind") // the last read that the limit allows
	if _, err := client.List(t.Context(), "kind"); !errors.Is(err, api.ErrUnavailable) {
		t.Errorf("unexpected error of a read over the rate limit, got %v instead of %v", err, api.ErrUnavailable)
	}
}
