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
	FaultNone     Fault = "none"
	FaultSlow     Fault = "slow"     // one decode engine works at a third of its speed
	FaultLost     Fault = "lost"     // one decode engine is killed
	FaultPlatform Fault = "platform" // the platform is out for the second third of the run
	FaultInstance Fault = "instance" // one instance leaves
	FaultLie      Fault = "lie"      // one decode engine reports that it is empty
)

const slowdown = 3

// ErrNoFault says that no fault has the given name.
var ErrNoFault = errors.New("load: no such fault")

// FindFault finds a fault by name.
func FindFault(name string) (Fault, error) {
	switch f := Fault(name); f {
	case FaultNone, FaultSlow, FaultLost, FaultPlatform, FaultInstance, FaultLie:
		return f, nil
	}
	return "", fmt.Errorf("%w: %q; there are none, slow, lost, platform, instance, lie", ErrNoFault, name)
}

// inject lets the fault happen.
func (f Fault) inject(ctx context.Context, s *site.Site, length time.Duration) {
	if f == FaultNone {
		return
	}
	_ = delay.For(ctx, length/3)
	engines := s.Engines()
	victim := engines[len(engines)-1]
	switch f {
	case FaultSlow:
		victim.SetFaults(standengine.Faults{Slowdown: slowdown})
	case FaultLie:
		victim.SetFaults(standengine.Faults{ReportIdle: true})
	case FaultLost:
		s.Kill(victim.Name)
	case FaultInstance:
		s.Instances()[0].Stop()
	case FaultPlatform:
		s.Platform().SetFaults(standplatform.Faults{Outage: true})
		_ = delay.For(ctx, length/3)
		s.Platform().SetFaults(standplatform.Faults{})
	}
}
