package instance

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/entry"
	"teaselgate/fleet"
	"teaselgate/outcome"
)

// buildOutcome makes the part that answers callers.
func (i *Instance) buildOutcome(supervisor *suture.Supervisor) error {
	i.claims = outcome.NewClaims(i.owner(), i.platform)
	i.claims.Gone = i.ownerGone
	i.claims.Prunes = i.prunesClaims
	i.claims.Record = i.events.Record
	supervisor.Add(i.claims)
	i.handler = &entry.Handler{
		Incarnation: i.owner(),
		Zone:        i.Options.Zone,
		Rules:       i.rules.Current,
		Admit:       i.admit,
		Place:       i.placer.Place,
		PickPlain:   i.placer.PickPlain,
		Engines:     i.engines,
		Services:    i.services,
		Claims:      i.claims,
		Budget:      outcome.NewBudget(),
		Record:      i.events.Record,
		Now:         time.Now,
	}
	return nil
}

// ownerGone tells whether an incarnation is known to have ended.
func (i *Instance) ownerGone(owner string) bool {
	for _, m := range i.fleet.Members() {
		name, incarnation, ok := strings.Cut(owner, m.Name+"-")
		if !ok || name != "" {
			continue
		}
		number, err := strconv.ParseUint(incarnation, 10, 64)
		if err != nil {
			continue
		}
		return m.Incarnation > number || m.Incarnation == number && m.State == fleet.Gone
	}
	return false
}

// prunesClaims tells whether this instance removes expired claims: one does, chosen by rendezvous hashing.
func (i *Instance) prunesClaims() bool {
	return i.chosen("claims")
}

// chosen tells whether this instance wins a duty among the live ones.
func (i *Instance) chosen(duty string) bool {
	best, name := uint64(0), ""
	for _, m := range i.fleet.Live() {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(duty + " " + m.Name))
		if sum := hash.Sum64(); name == "" || sum > best {
			best, name = sum, m.Name
		}
	}
	return name == i.Options.Name
}
