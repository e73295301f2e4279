package order

// Bounds of the balance between the stages.
const (
	minGain      = 0.05 // by which the fuller stage's load must fall, as a share of it; a change takes an engine away for seconds
	minLoad      = 0.25 // below this load of the fuller stage the split does not matter
	minEngines   = 2    // that stay in a stage, so that one may fail
	changesShare = 0.12 // of all engines may change at the same time
)

// StageLoad is what the stages of a service's engines have to do, in engines that would be fully busy with it.
type StageLoad struct {
	Prefill         float64 // computing prompts
	Decode          float64 // memory of running requests
	PrefillEngines  int     // engines that take work, without those that change
	DecodeEngines   int
	ChangingEngines int
}

// StageChange is what the split between the stages needs.
type StageChange int

// The changes.
const (
	NoChange StageChange = iota
	ToDecode
	ToPrefill
)

// Balance says whether one engine should change its stage. Load that it answers: bursts fill the memory of the decode
// engines while the prefill engines idle, or crashed engines leave one stage short; the split is best where both
// stages are equally full, so that both run out last.
func Balance(l StageLoad) StageChange {
	if l.PrefillEngines < 1 || l.DecodeEngines < 1 || float64(l.ChangingEngines+1) > max(changesShare*float64(l.PrefillEngines+l.DecodeEngines+l.ChangingEngines), 1) {
		return NoChange
	}
	full := fullness(l.Prefill, l.PrefillEngines, l.Decode, l.DecodeEngines)
	if full < minLoad {
		return NoChange
	}
	best := bestPrefills(l)
	engines := l.PrefillEngines + l.DecodeEngines
	if fullness(l.Prefill, best, l.Decode, engines-best) > full*(1-minGain) {
		return NoChange
	}
	if best < l.PrefillEngines {
		return ToDecode
	}
	return ToPrefill
}

// bestPrefills returns the number of prefill engines at which the fuller stage is least full.
func bestPrefills(l StageLoad) int {
	engines := l.PrefillEngines + l.DecodeEngines
	best, least := l.PrefillEngines, fullness(l.Prefill, l.PrefillEngines, l.Decode, l.DecodeEngines)
	for n := min(minEngines, l.PrefillEngines); engines-n >= min(minEngines, l.DecodeEngines); n++ {
		if f := fullness(l.Prefill, n, l.Decode, engines-n); f < least {
			best, least = n, f
		}
	}
	return best
}

// fullness is the load of the fuller stage.
func fullness(prefill float64, prefills int, decode float64, decodes int) float64 {
	return max(prefill/float64(prefills), decode/float64(decodes))
}
