package order

// Limits on changes of the split between the stages.
const (
	// minLoadReduction is the least relative fall of the busier stage's utilisation that justifies a change, since a
	// change makes an engine unavailable for seconds.
	minLoadReduction = 0.05
	minLoadToBalance = 0.25 // utilisation of the busier stage below which the split does not matter
	minStageEngines  = 2    // engines that a stage keeps, so that one may fail
	maxChangingShare = 0.12 // largest share of all engines that change their stage at once; one always may
)

// StageLoad is the load of both stages of a service, measured in fully busy engines.
type StageLoad struct {
	Prefill         float64 // load from computing prompts
	Decode          float64 // load from the memory of running requests
	PrefillEngines  int     // available prefill engines, without those that change their stage
	DecodeEngines   int     // available decode engines, without those that change their stage
	ChangingEngines int     // engines that are changing their stage
}

// StageChange is a change of the split between the stages.
type StageChange int

// Changes of the split, by one engine each.
const (
	NoChange  StageChange = iota
	ToDecode              // one prefill engine becomes a decode engine
	ToPrefill             // one decode engine becomes a prefill engine
)

// Balance decides whether one engine should change its stage. The split becomes unsuitable when bursts fill the
// memory of the decode engines while the prefill engines idle, or when crashed engines leave one stage short. The best
// split uses both stages equally, so that neither runs out before the other.
func Balance(l StageLoad) StageChange {
	if l.PrefillEngines < 1 || l.DecodeEngines < 1 || float64(l.ChangingEngines+1) >
		max(maxChangingShare*float64(l.PrefillEngines+l.DecodeEngines+l.ChangingEngines), 1) {
		return NoChange
	}
	utilisation := maxUtilisation(l.Prefill, l.PrefillEngines, l.Decode, l.DecodeEngines)
	if utilisation < minLoadToBalance {
		return NoChange
	}
	best := bestPrefillEngines(l)
	engines := l.PrefillEngines + l.DecodeEngines
	if maxUtilisation(l.Prefill, best, l.Decode, engines-best) > utilisation*(1-minLoadReduction) {
		return NoChange
	}
	if best < l.PrefillEngines {
		return ToDecode
	}
	return ToPrefill
}

// bestPrefillEngines returns the number of prefill engines that minimises the utilisation of the busier stage.
func bestPrefillEngines(l StageLoad) int {
	engines := l.PrefillEngines + l.DecodeEngines
	best, lowest := l.PrefillEngines, maxUtilisation(l.Prefill, l.PrefillEngines, l.Decode, l.DecodeEngines)
	for n := min(minStageEngines, l.PrefillEngines); engines-n >= min(minStageEngines, l.DecodeEngines); n++ {
		if utilisation := maxUtilisation(l.Prefill, n, l.Decode, engines-n); utilisation < lowest {
			best, lowest = n, utilisation
		}
	}
	return best
}

// maxUtilisation returns the utilisation of the busier stage.
func maxUtilisation(prefill float64, prefillEngines int, decode float64, decodeEngines int) float64 {
	return max(prefill/float64(prefillEngines), decode/float64(decodeEngines))
}
