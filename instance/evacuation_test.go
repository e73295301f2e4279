package instance_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"teaselgate/cell"
	"teaselgate/platform"
)

// An instance asks and orders engines by itself, too. After the evacuation of their availability zone none of these calls may
// reach them.
func TestEvacuatedEnginesGetNoCalls(t *testing.T) {
	site := startStoreSite(t)
	i := site.instance
	site.awaitConfiguration(t)
	entry, err := site.client.Get(t.Context(), platform.ServerKind, "d0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := platform.ReadServer("d0", entry.Data)
	if err != nil {
		t.Fatal(err)
	}
	engines := i.EngineClient()
	if _, err := engines.Report(t.Context(), server.Address); err != nil {
		t.Fatal(err)
	}
	evacuation, err := site.client.Create(t.Context(), platform.EvacuationKind, server.Zone, struct{}{})
	if err != nil {
		t.Fatal(err)
	}
	awaitEvacuated(t, func() bool { return slices.Contains(i.Status().Evacuated, server.Zone) })
	if _, err := i.EngineReportCalls().Load(t.Context(), server.Address); !errors.Is(err, cell.ErrNotPolled) {
		t.Errorf("unexpected error %v of a report", err)
	}
	order := platform.Order{Server: "d0", Address: server.Address, Stage: platform.Prefill, Holder: "i", Fence: 1}
	if err := engines.Order(t.Context(), order); !errors.Is(err, platform.ErrOrderRefused) {
		t.Errorf("unexpected error %v of an order", err)
	}
	if err := engines.Free(t.Context(), server.Address, platform.Handle{ID: "h"}); err == nil || !strings.Contains(err.Error(), "evacuated") {
		t.Errorf("unexpected error %v of a release", err)
	}
	if stage := site.servers["d0"].CurrentStage(); stage != "decode" {
		t.Errorf("the engine changed its stage to %s", stage)
	}
	if err := site.client.Delete(t.Context(), platform.EvacuationKind, server.Zone, evacuation.Version); err != nil {
		t.Fatal(err)
	}
	awaitEvacuated(t, func() bool { return len(i.Status().Evacuated) == 0 })
	if _, err := engines.Report(t.Context(), server.Address); err != nil {
		t.Error(err)
	}
}

// awaitEvacuated waits until a condition holds, for the time in which evacuations take effect.
func awaitEvacuated(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal("the evacuation, or its end, is not in force in time")
		}
	}
}
