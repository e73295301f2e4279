package instance

import (
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/entry"
)

// buildOutcome makes the part that answers callers.
func (i *Instance) buildOutcome(*suture.Supervisor) error {
	i.handler = &entry.Handler{
		Incarnation: i.owner(),
		Zone:        i.Options.Zone,
		Rules:       i.rules.Current,
		Admit:       i.admit,
		Place:       i.placer.Place,
		PickPlain:   i.placer.Plain.PickPlain,
		PlainDone:   i.placer.Plain.PlainDone,
		Engines:     i.engines,
		Services:    i.services,
		Record:      i.events.Record,
		Now:         time.Now,
	}
	return nil
}
