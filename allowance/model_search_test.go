package allowance

import (
	"hash/maphash"
	"testing"
)

// Numbers of visited states after which a search ends.
const (
	maxPlantedFaultStates = 3_000_000  // limit of a search with a planted fault
	maxFaultFreeStates    = 60_000_000 // limit of a search without one
)

// Limits of the searches: the wider the limits, the smaller the depth that a search reaches.
var (
	wideLimits   = modelLimits{inFlight: 3, crashes: 2, resignations: true}
	narrowLimits = modelLimits{inFlight: 2, crashes: 1}
	singleLimits = modelLimits{inFlight: 1, crashes: 1}
)

// searchStates visits all states up to a depth, breadth first. It returns the number of steps to the first violation,
// or 0 if there is none, and the number of states visited.
func searchStates(fault modelFault, limits modelLimits, depth, stateLimit int) (violatedAt, states int) {
	hash := maphash.MakeSeed()
	layer := newStartStates(limits)
	// seen holds hashes of states. The probability of any collision is below 2^-13 at maxFaultFreeStates.
	seen := make(map[uint64]struct{})
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
			violatedAt, states := searchStates(noFault, c.limits, depth, maxFaultFreeStates)
			if violatedAt != 0 {
				t.Errorf("two instances may grant the same tokens after %d steps", violatedAt)
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
		{"rule 1: take over while the lease runs", takeOverDuringLease, wideLimits},
		{"rule 1: act without a write that took effect", actWithoutWrite, wideLimits},
		{"rule 1: make grants before old grants have expired", grantBeforeOldGrantsExpire, wideLimits},
		{"rule 1: issue a lease after starting to take over", leaseAfterTakeover, wideLimits},
		{"rule 4: take over without an initial lease in a new epoch", takeOverWithoutInitialLease, singleLimits},
		{"rule 2: act after the lease has expired", actAfterLease, wideLimits},
		{"rule 2: act without a lease from the new successor", actWithoutNewLease, singleLimits},
		{"rule 2: replace the successor while the lease runs", replaceDuringLease, wideLimits},
		{"rule 2: replacement time counted from the sending", replaceableCountedFromSend, singleLimits},
		{"rule 2: accept a lease while a write is in flight", acceptLeaseWhileWriting, narrowLimits},
		{"rule 3: successor acts without proof", soleWithoutProof, wideLimits},
		{"rule 3: successor uses a proof after the lease", successorProofAfterLease, wideLimits},
		{"rule 3: time for a proof counted from the receipt of a renewal", proofCountedFromReceipt, wideLimits},
		{"rule 3: primary acts without lease or proof", primarySoleWithoutProof, wideLimits},
		{"rule 3: primary uses a proof after the lease", primaryProofAfterLease, wideLimits},
		{"rule 3: resign and continue to make grants", resignWhileGranting, wideLimits},
		{"rule 3: hand over without the wait for old grants", handOverWithoutGrantDelay, wideLimits},
		{"rule 4: lease counted from the receipt of the reply", leaseCountedFromReceipt, wideLimits},
		{"rule 5: unconditional write by a relaying instance", unconditionalRelay, wideLimits},
		{"restart: lease issued by another incarnation", ignoreIncarnation, wideLimits},
		{"both gone: take over with one proof", takeOverOnOneProof, wideLimits},
		{"both gone: make grants before old grants have expired", thirdGrantsBeforeOldGrantsExpire, wideLimits},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const depth = 20
			violatedAt, states := searchStates(c.fault, c.limits, depth, maxPlantedFaultStates)
			if violatedAt == 0 {
				t.Errorf("planted fault not found in %d states", states)
			}
			t.Logf("violation after %d steps, %d states", violatedAt, states)
		})
	}
}
