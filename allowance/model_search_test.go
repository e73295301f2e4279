package allowance

import (
	"hash/maphash"
	"testing"
)

// The numbers of states that end a search.
const (
	maxStates     = 3_000_000
	maxLongStates = 60_000_000
)

// The limits of the searches: wide ones to a small depth, narrow ones to a great depth.
var (
	wideLimits   = modelLimits{inFlight: 3, crashes: 2, resignations: true}
	narrowLimits = modelLimits{inFlight: 2, crashes: 1}
	singleLimits = modelLimits{inFlight: 1, crashes: 1}
)

// search visits all states up to a depth, nearest first, and returns the path length to a violation.
func searchStates(fault modelFault, limits modelLimits, depth, stateLimit int) (violatedAt, states int) {
	hash := maphash.MakeSeed()
	layer := newStartStates(limits)
	seen := make(map[uint64]struct{}) // hashes of the states: one collision in all has a chance below 2^-20
	for d := 1; d <= depth && len(seen) < stateLimit; d++ {
		var next []modelState
		found := false
		for _, s := range layer {
			s.visitNextStates(fault, func(n modelState) {
				key := maphash.Comparable(hash, n)
				if _, ok := seen[key]; ok || found {
					return
				}
				found = n.hasTwoGranters()
				seen[key] = struct{}{}
				next = append(next, n)
			})
			if found {
				return d, len(seen)
			}
		}
		layer = next
	}
	return 0, len(seen)
}

func TestModelAllowsNoTwoGranters(t *testing.T) {
	cases := []struct {
		name             string
		limits           modelLimits
		depth, longDepth int
	}{
		{"wide", wideLimits, 8, 10},
		{"narrow", narrowLimits, 11, 14},
		{"single", singleLimits, 15, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			depth := c.depth
			if *runLong {
				depth = c.longDepth
			}
			violatedAt, states := searchStates(noFault, c.limits, depth, maxLongStates)
			if violatedAt != 0 {
				t.Errorf("unexpected violation after %d steps", violatedAt)
			}
			t.Logf("%d states to depth %d", states, depth)
		})
	}
}

func TestModelFindsPlantedFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  modelFault
		limits modelLimits
	}{
		{"rule 1: claim within the promise", takeOverDuringLease, wideLimits},
		{"rule 1: act without a won write", actWithoutWrite, wideLimits},
		{"rule 1: grant before old grants expired", grantBeforeOldGrantsExpire, wideLimits},
		{"rule 1: promise again after a claim was sent", leaseAfterTakeover, wideLimits},
		{"rule 1: claim at first sight of the epoch", takeOverWithoutInitialLease, singleLimits},
		{"rule 2: go on after the promise", actAfterLease, wideLimits},
		{"rule 2: go on without the new promise", actWithoutNewLease, singleLimits},
		{"rule 2: replace within the promise", replaceDuringLease, wideLimits},
		{"rule 2: end of the promise counted from the sending", replaceableCountedFromSend, singleLimits},
		{"rule 2: take promises while a write is on its way", acceptLeaseWhileWriting, narrowLimits},
		{"rule 3: successor alone without proof", soleWithoutProof, wideLimits},
		{"rule 3: proof after the promise", successorProofAfterLease, wideLimits},
		{"rule 3: window counted from a late renewal", proofCountedFromReceipt, wideLimits},
		{"rule 3: primary alone without proof", primarySoleWithoutProof, wideLimits},
		{"rule 3: primary's proof after the promise", primaryProofAfterLease, wideLimits},
		{"rule 3: resign and go on granting", resignWhileGranting, wideLimits},
		{"rule 3: resign without the wait for old grants", handOverWithoutGrantDelay, wideLimits},
		{"rule 4: promise counted from the receipt", leaseCountedFromReceipt, wideLimits},
		{"rule 5: unconditional write by a relay", unconditionalRelay, wideLimits},
		{"restart: promise by another incarnation", ignoreIncarnation, wideLimits},
		{"both lost: claim on one proof", takeOverOnOneProof, wideLimits},
		{"both lost: grant before old grants expired", thirdGrantsBeforeOldGrantsExpire, wideLimits},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const depth = 20
			violatedAt, states := searchStates(c.fault, c.limits, depth, maxStates)
			if violatedAt == 0 {
				t.Errorf("no violation found in %d states", states)
			}
			t.Logf("violation after %d steps, %d states", violatedAt, states)
		})
	}
}
