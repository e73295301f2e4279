package instance

import (
	"context"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/engine"
	"teaselgate/entry"
	"teaselgate/fleet"
	"teaselgate/outcome"
	"teaselgate/rule"
)

// buildOutcome builds the handler of callers' requests, and the services that store claims and cancel attempts.
func (i *Instance) buildOutcome(supervisor *suture.Supervisor) error {
	i.claims = outcome.NewClaimStore(i.owner(), i.platform)
	i.claims.OwnerEnded = func(owner string) bool {
		state := i.ownerState(owner)
		return state == outcome.OwnerGone || state == outcome.OwnerReplaced
	}
	i.claims.ShouldPrune = func() bool { return i.isAssigned("claims") }
	i.claims.Record = i.events.Record
	i.canceller = outcome.NewCanceller(func(ctx context.Context, address, attempt string) error {
		_, err := i.engines.Cancel(ctx, address, engine.CancelRequest{Attempt: attempt})
		return err
	})
	i.canceller.Record = i.events.Record
	handler := i.newHandler()
	i.handler = handler
	sweeper := i.newSweeper(handler)
	i.canceller.OnGiveUp = sweeper.MarkUnconfirmed
	supervisor.Add(i.claims)
	supervisor.Add(i.canceller)
	supervisor.Add(sweeper)
	return nil
}

func (i *Instance) newHandler() *entry.Handler {
	return &entry.Handler{
		Owner:              i.owner(),
		Zone:               i.Options.Zone,
		Rules:              i.rules.Current,
		Connected:          i.fleet.Connected,
		Admit:              i.admit,
		Place:              i.placer.Place,
		PickServer:         i.plain.Pick,
		ReportServerResult: i.plain.RecordResult,
		Engines:            i.engines,
		Services:           i.services,
		Claims:             i.claims,
		RetryBudget:        outcome.NewDefaultRetryBudget(),
		Quarantine:         i.quarantine,
		CancelAttempt:      i.canceller.Cancel,
		Shutdown:           i.shutdownPlan.Load,
		Record:             i.events.Record,
		Now:                time.Now,
	}
}

// newSweeper returns the service that cancels orphaned attempts at engines, such as those of ended instances.
func (i *Instance) newSweeper(handler *entry.Handler) *outcome.Sweeper {
	return &outcome.Sweeper{
		Owner:             i.owner(),
		Engines:           i.engineAddresses,
		SelectAssigned:    i.assignedTasks,
		OwnerState:        i.ownerState,
		LastMemberFailure: i.fleet.LastMemberFailure,
		Connected:         i.fleet.Connected,
		IsRunning:         handler.Running,
		ListAttempts:      i.engines.Requests,
		Cancel:            i.canceller.Cancel,
		Record:            i.events.Record,
		Now:               time.Now,
	}
}

// engineAddresses returns the addresses of all model engines, including leaving ones.
func (i *Instance) engineAddresses() []string {
	revision := i.rules.Current()
	if revision == nil {
		return nil
	}
	var out []string
	for name, pool := range revision.Rules.Pools() {
		if pool.Duty == rule.Plain {
			continue
		}
		for _, server := range revision.Rules.Servers(name) {
			out = append(out, server.At)
		}
	}
	return out
}

// ownerState returns the state of the run that an owner name, as returned by owner, identifies.
func (i *Instance) ownerState(owner string) outcome.OwnerState {
	separator := strings.LastIndexByte(owner, '-')
	if separator < 0 {
		return outcome.OwnerUnknown
	}
	incarnation, err := strconv.ParseUint(owner[separator+1:], 10, 64)
	if err != nil {
		return outcome.OwnerUnknown
	}
	m, err := i.fleet.Member(owner[:separator])
	switch {
	case err != nil:
		return outcome.OwnerUnknown
	case m.Incarnation > incarnation:
		return outcome.OwnerReplaced
	case m.Incarnation == incarnation && m.State == fleet.Gone:
		return outcome.OwnerGone
	}
	return outcome.OwnerLive
}

// isAssigned reports whether a task is assigned to this instance.
func (i *Instance) isAssigned(task string) bool {
	return len(i.assignedTasks([]string{task})) > 0
}

// assignedTasks returns the tasks that are assigned to this instance. Rendezvous hashing assigns each task to one live
// instance.
func (i *Instance) assignedTasks(tasks []string) []string {
	live := i.fleet.Live()
	hashes := make([]uint64, 0, len(live))
	var ownHash uint64
	for _, m := range live {
		hash := hashName(m.Name)
		if m.Name == i.Options.Name {
			ownHash = hash
			continue
		}
		hashes = append(hashes, hash)
	}
	if ownHash == 0 {
		return nil
	}
	var out []string
	for _, task := range tasks {
		if ranksFirst(ownHash, hashName(task), hashes) {
			out = append(out, task)
		}
	}
	return out
}

// ranksFirst reports whether no other instance has a higher score for a task. All arguments are hashes of names.
func ranksFirst(instance, task uint64, others []uint64) bool {
	score := mixBits(instance ^ task)
	for _, other := range others {
		if mixBits(other^task) > score {
			return false
		}
	}
	return true
}

func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// mixBits is the bit mixer of SplitMix64 (Steele, Lea and Flood 2014).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
