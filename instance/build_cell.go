package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/cell"
)

// buildCell makes the part that places requests on backend servers.
func (i *Instance) buildCell(*suture.Supervisor) error {
	i.placer = cell.NewPlacer(i.rules.Rules)
	return nil
}
