package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Thresholds of blocks. They answer requests that crash each server that runs them, in the midst of crashes with other
// causes, which also end sound requests.
const (
	// sameCrash is the time within which reports of one server's end are about the same crash. Restarts take longer.
	sameCrash = time.Second
	// sameCause is the time within which the ends of several servers count once, since they may have one cause, such as a lost
	// rack. That does not hold if a request was sent to one server after the other had ended, nor for a request that was never
	// answered: it would hardly be at several of the lost servers by chance.
	sameCause  = 100 * time.Millisecond
	minCrashes = 2 // ends of servers from which a part is blocked of which no success is known
	// minUncertain is the same for a request with a weaker case: another request was at each of these servers, too, or its
	// answers had begun, which takes so long that servers may end for other reasons.
	minUncertain = 3
	minRecent    = 4 // the same for a part that has recently succeeded
	// A request that was answered at times is blocked if, of its last runs, at least one of maxAnswers + 1 has ended its server,
	// and these servers had never answered it.
	maxAnswers = 5
	// partialWindow is the time whose crashes count for that. Answers are counted as long.
	partialWindow = 2 * beganLife
	recentSuccess = 30 * time.Second
	// minCallers is the number of callers of a client account whose own requests must have crashed engines before the parts
	// are refused to the whole account, and the number of such accounts before they are refused to all. One caller alone
	// can't have requests of others refused.
	minCallers  = 3
	firstTerm   = 30 * time.Second // time for which parts are blocked after the last crash
	requestTerm = 2 * time.Minute  // the same for a whole request: a trial of one costs a server, and it concerns few callers
	unsureTerm  = 5 * time.Second  // the same for a request that may just have been at the same servers as another
	recentTerm  = 5 * time.Second  // the same for parts that have recently succeeded
	maxTerm     = 10 * time.Minute // the term doubles with each further crash up to this
)

// block refuses requests that have all of the given parts, since they crash servers. The parts are several if the crashes
// don't tell them apart.
type block struct {
	parts    []string        // sorted
	callers  map[Caller]bool // whose requests crashed servers
	accounts map[string]int  // number of these callers by account
	crashes  int
	requests []string // requests that crashed servers, with the servers
	until    time.Time
}

// covers reports whether the block is about a request of a caller.
func (b block) covers(caller Caller, parts []string) bool {
	isRequest := slices.ContainsFunc(b.parts, isRequestPart) // which only its client account sends
	if !isRequest && !b.callers[caller] && b.accounts[caller.Account] < minCallers && len(b.accounts) < minCallers {
		return false
	}
	return !slices.ContainsFunc(b.parts, func(part string) bool { return !slices.Contains(parts, part) })
}

// key identifies the block by its parts.
func (b block) key() string { return strings.Join(b.parts, " ") }

// describe describes the block and its evidence for the log.
func (b block) describe(now time.Time) string {
	const maxListed = 6 // requests
	return fmt.Sprintf("parts %v, refused to %d callers of the accounts %v for %v, %d crashes: %v",
		b.parts, len(b.callers), slices.Sorted(maps.Keys(b.accounts)), b.until.Sub(now).Round(time.Millisecond), b.crashes,
		b.requests[max(len(b.requests)-maxListed, 0):])
}

// findBlocks finds the fewest parts that explain the crashes: the part with the most crashes is taken first, and the crashes
// in which it occurs need no other cause, until no part has enough crashes left. A part is no cause of the crashes before
// its newest success, unless it stands for a request that crashes some servers and is answered by others.
func findBlocks(crashes []Crash, successes map[string]time.Time) []block {
	groups := groupByServer(crashes)
	all := collectSuspects(groups, successes)
	var out []block
	for {
		suspects := collectSuspects(groups, successes)
		best, b := strongest(suspects)
		if best == nil {
			out = append(out, findRequestBlocks(all, suspects, out)...)
			return append(out, findPartialBlocks(groups, successes)...)
		}
		others := rivals(best, suspects)
		for _, other := range others {
			out = append(out, unsureBlock(other))
		}
		// A crash under requests with two deadly parts counts for the terms of both.
		b.until = b.until.Add(all[best.part].term(b.parts))
		if len(others) > 0 {
			b = unsureBlock(best)
		}
		out = append(out, b)
		groups = slices.DeleteFunc(groups, func(group []Crash) bool {
			return slices.ContainsFunc(group, func(c Crash) bool { return hasAnyPart(c, b.parts, successes) })
		})
	}
}

// findRequestBlocks finds the requests that are no cause of the crashes left, as other blocks explain the rest, but are
// likely causes all the same: they were at many servers that ended, or at one of them alone.
func findRequestBlocks(all, left map[string]*suspect, blocks []block) []block {
	alone := make(map[int]int) // number of suspects by server
	for _, s := range left {
		for _, server := range s.servers {
			alone[server]++
		}
	}
	var out []block
	for _, part := range slices.Sorted(maps.Keys(all)) {
		s := all[part]
		isBlocked := slices.ContainsFunc(blocks, func(b block) bool { return slices.Contains(b.parts, part) })
		if !isRequestPart(part) || isBlocked || !s.isCause() {
			continue
		}
		wasAlone := left[part] != nil && slices.ContainsFunc(left[part].servers, func(server int) bool { return alone[server] == 1 })
		if s.causes >= minUncertain || wasAlone {
			out = append(out, unsureBlock(s))
		}
	}
	return out
}

// unsureBlock returns the block of a request that may just have been at the same servers as another. It is tried again soon,
// as one answer shows that.
func unsureBlock(s *suspect) block {
	b := newBlock(s, []string{s.part})
	if s.causes > minUncertain {
		b.until = b.until.Add(s.term(b.parts))
	} else {
		b.until = b.until.Add(unsureTerm)
	}
	return b
}

// findPartialBlocks finds the requests that crash some servers and are answered by others, of crashes without another cause.
// One answer after the term of a block ends it.
func findPartialBlocks(groups [][]Crash, successes map[string]time.Time) []block {
	var out []block
	suspects := collectSuspects(groups, nil)
	for _, part := range slices.Sorted(maps.Keys(suspects)) {
		s := suspects[part].unserved(partialWindow)
		if !isRequestPart(part) || s.causes < minUncertain || s.answers/len(s.crashes) > maxAnswers*s.ends {
			continue
		}
		b := newBlock(s, []string{part})
		b.until = b.until.Add(s.term(b.parts))
		if !successes[part].After(b.until) {
			out = append(out, b)
		}
	}
	return out
}

// groupByServer returns the crashes in groups, one for each end of a server.
func groupByServer(crashes []Crash) [][]Crash {
	var groups [][]Crash
	for _, c := range crashes {
		at := slices.IndexFunc(groups, func(group []Crash) bool {
			return group[0].Server == c.Server && c.At.Sub(group[0].At) < sameCrash
		})
		if at < 0 {
			groups = append(groups, nil)
			at = len(groups) - 1
		}
		groups[at] = append(groups[at], c)
	}
	return groups
}

// mayCause reports whether a part has not succeeded since a crash.
func mayCause(part string, c Crash, successes map[string]time.Time) bool {
	at, ok := successes[part]
	return !ok || at.Before(c.At)
}

func hasAnyPart(c Crash, parts []string, successes map[string]time.Time) bool {
	return slices.ContainsFunc(c.Parts, func(part string) bool {
		return slices.Contains(parts, part) && mayCause(part, c, successes)
	})
}

// suspect is a part that may have crashed servers, with the evidence.
type suspect struct {
	part    string
	crashes []Crash // of one request each
	at      []int   // number of the end of a server at which each crash was
	servers []int   // the same without repeats
	ends    int     // number of servers that ended
	causes  int     // number of these ends that can't have had one cause
	early   int     // number of causes for which the answer had not begun
	answers int     // sum of the estimates of answers to the request
	recent  bool    // whether the part succeeded shortly before the first crash

	answered bool // whether any success of the part is known

	lastCause time.Time // the last end that was counted in causes
}

// hasRequest reports whether a request is among those that crashed servers.
func (s *suspect) hasRequest(request string) bool {
	return slices.ContainsFunc(s.crashes, func(other Crash) bool { return other.Request == request })
}

// isCause reports whether the evidence is enough to block the part, apart from other suspects.
func (s *suspect) isCause() bool {
	if s.recent {
		return s.causes >= minRecent
	}
	return s.early >= minCrashes || s.causes >= minUncertain
}

// strongest returns the part with the most crashes, or nil, and the block of it and of those with the same crashes. The end of
// the block is that of the last crash; the caller adds the term.
func strongest(suspects map[string]*suspect) (*suspect, block) {
	var best *suspect
	for _, part := range slices.Sorted(maps.Keys(suspects)) {
		s := suspects[part]
		if s.isCause() && (best == nil || isStronger(s, best)) && (s.causes >= minUncertain || len(rivals(s, suspects)) == 0) {
			best = s
		}
	}
	if best == nil {
		return nil, block{}
	}
	var parts []string
	for part, s := range suspects {
		if s.isCause() && s.recent == best.recent && sameRequests(s.crashes, best.crashes) {
			parts = append(parts, part)
		}
	}
	return best, newBlock(best, parts)
}

// rivals returns the likely causes that stand for other requests which were at all servers that ended under the given one,
// so that the crashes don't tell them apart.
func rivals(s *suspect, suspects map[string]*suspect) []*suspect {
	if !isRequestPart(s.part) {
		return nil
	}
	var out []*suspect
	for _, part := range slices.Sorted(maps.Keys(suspects)) {
		other := suspects[part]
		if !isRequestPart(part) || !other.isCause() || sameRequests(s.crashes, other.crashes) {
			continue
		}
		if !slices.ContainsFunc(s.servers, func(n int) bool { return !slices.Contains(other.servers, n) }) {
			out = append(out, other)
		}
	}
	return out
}

// newBlock returns a block of parts for the crashes of a suspect, which ends at the last of them.
func newBlock(s *suspect, parts []string) block {
	b := block{
		parts: slices.Sorted(slices.Values(parts)), crashes: s.ends,
		callers: make(map[Caller]bool), accounts: make(map[string]int),
	}
	for _, c := range s.crashes {
		if !b.callers[c.Caller] {
			b.callers[c.Caller] = true
			b.accounts[c.Caller.Account]++
		}
		b.requests = append(b.requests, c.Request+" at "+c.Server)
		b.until = c.At
	}
	return b
}

// isStronger reports whether a is the more likely cause than b. Of parts that account for the same crashes, the one that
// fewer requests have is the more likely cause.
func isStronger(a, b *suspect) bool {
	if a.recent != b.recent {
		return b.recent
	}
	return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(len(b.crashes), len(a.crashes))) > 0
}

func sameRequests(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(a, b Crash) bool { return a.Request == b.Request && a.Server == b.Server })
}

// collectSuspects returns the suspects by part.
func collectSuspects(groups [][]Crash, successes map[string]time.Time) map[string]*suspect {
	suspects := make(map[string]*suspect)
	for n, group := range groups {
		for _, c := range group {
			for _, part := range c.Parts {
				if mayCause(part, c, successes) {
					suspectOf(suspects, part, c, successes).add(c, n)
				}
			}
		}
	}
	return suspects
}

// add adds a crash under the part, at a server that ended. Of several with one end of a server, only the first counts.
func (s *suspect) add(c Crash, server int) {
	isOtherCause := s.hasRequest(c.Request) || isRequestPart(s.part) && (!s.answered || c.Sent.After(s.lastCause))
	s.crashes, s.at = append(s.crashes, c), append(s.at, server)
	s.answers += c.Answers
	if slices.Contains(s.servers, server) {
		return
	}
	s.servers = append(s.servers, server)
	s.ends++
	if s.causes > 0 && !isOtherCause && c.At.Sub(s.lastCause) < sameCause {
		return
	}
	s.causes++
	s.lastCause = c.At
	if !c.Begun {
		s.early++
	}
}

// unserved returns the suspect with its crashes at servers that had never answered the request, of the given time up to the
// last crash.
func (s *suspect) unserved(window time.Duration) *suspect {
	last := s.crashes[len(s.crashes)-1].At
	out := &suspect{part: s.part, answered: s.answered, recent: s.recent}
	for n, c := range s.crashes {
		isServed := slices.ContainsFunc(s.crashes, func(other Crash) bool { return other.Server == c.Server && other.Served })
		if !isServed && last.Sub(c.At) < window {
			out.add(c, s.at[n])
		}
	}
	return out
}

// suspectOf returns the suspect of a part, and adds it with its first crash.
func suspectOf(suspects map[string]*suspect, part string, first Crash, successes map[string]time.Time) *suspect {
	s, ok := suspects[part]
	if !ok {
		at, succeeded := successes[part]
		s = &suspect{part: part, answered: succeeded, recent: succeeded && first.At.Sub(at) < recentSuccess}
		suspects[part] = s
	}
	return s
}

// term returns for how long the given parts, with the evidence of the suspect, are refused after the last crash.
func (s *suspect) term(parts []string) time.Duration {
	term, least := firstTerm, minCrashes
	if slices.ContainsFunc(parts, isRequestPart) {
		term = requestTerm
	}
	if s.recent {
		term, least = recentTerm, minRecent
	}
	for range s.causes - least {
		term = min(2*term, maxTerm)
	}
	return term
}
