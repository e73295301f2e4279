package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselgate/delay"
	standengine "teaselgate/standin/engine"
	standplatform "teaselgate/standin/platform"
	"teaselgate/standin/site"
)

// Fault names a fault that is injected during a run.
type Fault string

// Faults of a run. Each begins after a third of the run's duration.
const (
	FaultNone           Fault = "none"
	FaultSlowEngine     Fault = "slow"     // one decode engine runs at a third of its speed
	FaultKilledEngine   Fault = "lost"     // one decode engine is killed
	FaultPlatformOutage Fault = "platform" // the platform is unavailable during the second third of the run
	FaultInstanceStop   Fault = "instance" // one instance shuts down gracefully
	FaultIdleReport     Fault = "lie"      // one decode engine always reports an idle load
)

// slowEngineFactor is the slowdown of an engine under FaultSlowEngine.
const slowEngineFactor = 3

// ErrUnknownFault is returned for the name of an unknown fault.
var ErrUnknownFault = errors.New("load: unknown fault")

// ParseFault returns the fault of the given name.
func ParseFault(name string) (Fault, error) {
	switch f := Fault(name); f {
	case FaultNone, FaultSlowEngine, FaultKilledEngine, FaultPlatformOutage, FaultInstanceStop, FaultIdleReport:
		return f, nil
	}
	return "", fmt.Errorf("%w %q; must be none, slow, lost, platform, instance or lie", ErrUnknownFault, name)
}

// inject waits for a third of the duration and injects the fault. Engine faults affect the last decode engine. A
// platform outage ends after another third.
func (f Fault) inject(ctx context.Context, s *site.Site, duration time.Duration) {
	if f == FaultNone {
		return
	}
	_ = delay.For(ctx, duration/3)
	engines := s.Engines()
	engine := engines[len(engines)-1]
	switch f {
	case FaultSlowEngine:
		engine.SetFaults(standengine.Faults{Slowdown: slowEngineFactor})
	case FaultIdleReport:
		engine.SetFaults(standengine.Faults{ReportIdle: true})
	case FaultKilledEngine:
		s.Kill(engine.Name)
	case FaultInstanceStop:
		s.Instances()[0].Stop()
	case FaultPlatformOutage:
		s.Platform().SetFaults(standplatform.Faults{Outage: true})
		_ = delay.For(ctx, duration/3)
		s.Platform().SetFaults(standplatform.Faults{})
	}
}
