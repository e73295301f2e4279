package order

// Bounds of the balance between the stages.
const (
	minGain      = 0.05 // by which the fuller stage's load must fall, as a share of it; a change takes an engine away for seconds
	minLoad      = 0.25 // below this load of the fuller stage the split does not matter
	minEngines   = 2    // that stay in a stage, so that one may fail
	changesShare = 0.12 // of all engines may change at the same time
)

// Load is what the stages of a service's engines have to do, in engines that would be fully busy with it.
type Load struct {
	Prefill  float64 // computing prompts
	Decode   float64 // memory of running requests
	Prefills int     // engines that take work, without those that change
	Decodes  int
	Changing int
}

// Change is what the split between the stages needs.
type Change int

// The changes.
const (
	Keep Change = iota
	ToDecode
	ToPrefill
)

// Balance says whether one engine should change its stage. Load that it answers: bursts fill the memory of the decode
// engines while the prefill engines idle, or crashed engines leave one stage short; the split is best where both
// stages are equally full, so that both run out last.
func Balance(l Load) Change {
	if l.Prefills < 1 || l.Decodes < 1 || float64(l.Changing+1) > max(changesShare*float64(l.Prefills+l.Decodes+l.Changing), 1) {
		return Keep
	}
	full := fullness(l.Prefill, l.Prefills, l.Decode, l.Decodes)
	if full < minLoad {
		return Keep
	}
	best := bestPrefills(l)
	engines := l.Prefills + l.Decodes
	if fullness(l.Prefill, best, l.Decode, engines-best) > full*(1-minGain) {
		return Keep
	}
	if best < l.Prefills {
		return ToDecode
	}
	return ToPrefill
}

// bestPrefills returns the number of prefill engines at which the fuller stage is least full.
func bestPrefills(l Load) int {
	engines := l.Prefills + l.Decodes
	best, least := l.Prefills, fullness(l.Prefill, l.Prefills, l.Decode, l.Decodes)
	for n := min(minEngines, l.Prefills); engines-n >= min(minEngines, l.Decodes); n++ {
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
