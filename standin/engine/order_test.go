package engine

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	api "teaselgate/engine"
	"teaselgate/rule"
)

func TestEngineRejectsOutdatedOrdersOnlyIfFenced(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		e := NewEngine("p0", rule.Prefill)
		e.Fenced = fenced
		server := httptest.NewServer(e.Handler())
		client := api.NewClient()
		address := strings.TrimPrefix(server.URL, "http://")
		steps := []struct {
			order     api.Order
			wantStale bool
		}{
			{api.Order{Fence: 5, Role: "decode", Model: "chat"}, false},
			{api.Order{Fence: 4, Role: "prefill"}, fenced},
			{api.Order{Fence: 5, Version: "v2"}, false},
			{api.Order{Fence: 6, Adapter: "cuts"}, false},
		}
		for _, step := range steps {
			err := client.Order(t.Context(), address, step.order)
			if step.wantStale != errors.Is(err, api.ErrStaleFence) || !step.wantStale && err != nil {
				t.Errorf("unexpected result of order %v with Fenced %v: %v", step.order, fenced, err)
			}
		}
		// Without fencing, the outdated order makes the engine a prefill engine, which reports a single slot.
		load, err := client.Load(t.Context(), address)
		if err != nil || fenced != (load.SlotsMax == e.Slots) {
			t.Errorf("unexpected load after the role change with Fenced %v: %v, %v", fenced, load, err)
		}
		client.Close()
		server.Close()
	}
}
