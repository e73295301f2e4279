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

// Fault names what goes wrong during a run.
type Fault string

// The faults of a run. Each begins a third into the run.
const (
	FaultNone           Fault = "none"
	FaultSlowEngine     Fault = "slow"     // one decode engine works at a third of its speed
	FaultKilledEngine   Fault = "lost"     // one decode engine is killed
	FaultPlatformOutage Fault = "platform" // the platform is out for the second third of the run
	FaultInstanceStop   Fault = "instance" // one instance leaves
	FaultIdleReport     Fault = "lie"      // one decode engine reports that it is empty
)

const slowEngineFactor = 3

// ErrUnknownFault says that no fault has the given name.
var ErrUnknownFault = errors.New("load: no such fault")

// ParseFault finds a fault by name.
func ParseFault(name string) (Fault, error) {
	switch f := Fault(name); f {
	case FaultNone, FaultSlowEngine, FaultKilledEngine, FaultPlatformOutage, FaultInstanceStop, FaultIdleReport:
		return f, nil
	}
	return "", fmt.Errorf("%w: %q; there are none, slow, lost, platform, instance, lie", ErrUnknownFault, name)
}

// inject lets the fault happen.
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
