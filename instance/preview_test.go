package instance_test

import (
	"strings"
	"testing"

	"teaselgate/admin"
	"teaselgate/preview"
	"teaselgate/standin/caller"
)

// Operators ask a running instance where requests would go: for a model, for a plain service, and for a path without a route.
// None of it may reach a backend server.
func TestPreviewOfARunningInstance(t *testing.T) {
	site := startStoreSite(t)
	site.awaitConfiguration(t)
	before := make(map[string]int)
	for name, server := range site.servers {
		before[name] = len(server.Received())
	}
	client, err := admin.NewClient("", "")
	if err != nil {
		t.Fatal(err)
	}
	ask := func(r preview.Request) (preview.Decision, error) {
		var d preview.Decision
		err := client.Get(t.Context(), site.instance.AdminAddress(), r.Query(), &d)
		return d, err
	}
	model, err := ask(preview.Request{Host: caller.Host, Path: "/draft/1", Prompt: 200, Output: 40})
	if err != nil || model.Verdict != preview.Placed || model.By != "i1" {
		t.Errorf("unexpected preview %+v of a model request: %v", model, err)
	}
	plain, err := ask(preview.Request{Host: caller.Host, Path: "/order/1"})
	if err != nil || plain.Verdict != preview.Placed || len(plain.Stages) != 1 || len(plain.Stages[0].Candidates) == 0 {
		t.Errorf("unexpected preview %+v of a plain request: %v", plain, err)
	}
	if _, err := ask(preview.Request{Host: caller.Host, Path: "/nowhere"}); err == nil || !strings.Contains(err.Error(), "no route") {
		t.Errorf("unexpected error %v of a path without a route", err)
	}
	if _, err := ask(preview.Request{Host: caller.Host, Path: "/order/1", Account: "nobody"}); err == nil || !strings.Contains(err.Error(), "account") {
		t.Errorf("unexpected error %v of an unknown account", err)
	}
	for name, server := range site.servers {
		if n := len(server.Received()); n != before[name] {
			t.Errorf("%s got %d requests for the previews", name, n-before[name])
		}
	}
}
