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
	wide   = modelLimits{flight: 3, crashes: 2, resign: true}
	narrow = modelLimits{flight: 2, crashes: 1}
	single = modelLimits{flight: 1, crashes: 1}
)

// search visits all states up to a depth, nearest first, and returns the path length to a violation.
func search(f modelFault, limits modelLimits, depth, most int) (violatedAt, states int) {
	hash := maphash.MakeSeed()
	layer := startStates(limits)
	seen := make(map[uint64]struct{}) // hashes of the states: one collision in all has a chance below 2^-20
	for d := 1; d <= depth && len(seen) < most; d++ {
		var next []modelState
		found := false
		for _, s := range layer {
			s.successors(f, func(n modelState) {
				key := maphash.Comparable(hash, n)
				if _, ok := seen[key]; ok || found {
					return
				}
				found = n.violated()
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

func TestModelHoldsItsRules(t *testing.T) {
	cases := []struct {
		name        string
		limits      modelLimits
		depth, deep int
	}{
		{"wide", wide, 8, 10},
		{"narrow", narrow, 11, 14},
		{"single", single, 15, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			depth := c.depth
			if *long {
				depth = c.deep
			}
			at, states := search(noFault, c.limits, depth, maxLongStates)
			if at != 0 {
				t.Errorf("unexpected violation after %d steps", at)
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
		{"rule 1: claim within the promise", claimWithinPromise, wide},
		{"rule 1: act without a won write", actWithoutWrite, wide},
		{"rule 1: grant before old grants expired", grantAtOnce, wide},
		{"rule 1: promise again after a claim was sent", promiseAfterClaim, wide},
		{"rule 1: claim at first sight of the epoch", claimAtFirstSight, single},
		{"rule 2: go on after the promise", goOnAfterPromise, wide},
		{"rule 2: go on without the new promise", replaceWithoutPromise, single},
		{"rule 2: replace within the promise", replaceWithinPromise, wide},
		{"rule 2: end of the promise counted from the sending", replaceCountedFromSend, single},
		{"rule 2: take promises while a write is on its way", promiseWhileWriting, narrow},
		{"rule 3: successor alone without proof", aloneWithoutProof, wide},
		{"rule 3: proof after the promise", proofAfterWindow, wide},
		{"rule 3: window counted from a late renewal", windowCountedFromReceipt, wide},
		{"rule 3: primary alone without proof", primaryAloneWithoutProof, wide},
		{"rule 3: primary's proof after the promise", primaryProofAfterPromise, wide},
		{"rule 3: resign and go on granting", resignWhileGranting, wide},
		{"rule 3: resign without the wait for old grants", resignWithoutWait, wide},
		{"rule 4: promise counted from the receipt", heldCountedFromReceipt, wide},
		{"rule 5: unconditional write by a relay", unconditionalRelay, wide},
		{"restart: promise by another incarnation", ignoreIncarnation, wide},
		{"both lost: claim on one proof", claimOnOneProof, wide},
		{"both lost: grant before old grants expired", claimantGrantsAtOnce, wide},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const depth = 20
			at, states := search(c.fault, c.limits, depth, maxStates)
			if at == 0 {
				t.Errorf("no violation found in %d states", states)
			}
			t.Logf("violation after %d steps, %d states", at, states)
		})
	}
}
