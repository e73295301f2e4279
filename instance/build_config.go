package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/config"
)

// buildConfig makes the follower of the rules.
func (i *Instance) buildConfig(supervisor *suture.Supervisor) error {
	i.rules = &config.Follower{Platform: i.platform, Record: i.events.Record}
	supervisor.Add(i.rules)
	return nil
}

// revision returns the number of the revision in force, 0 before the first.
func (i *Instance) revision() uint64 {
	if r := i.rules.Current(); r != nil {
		return r.Number
	}
	return 0
}
