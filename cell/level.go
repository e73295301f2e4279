package cell

import (
	"sync"
	"time"
)

// AccountLevel is the level of a client account's token bucket, as an instance knows it from a dispatcher.
type AccountLevel struct {
	Tokens float64
	Age    time.Duration // since the instance learned it
}

// levelSet is what an instance knows of the levels of the accounts' token buckets. A new dispatcher asks all instances,
// so that it grants no burst again after a take-over and rejects no account that is within its rate.
type levelSet struct {
	mu    sync.Mutex
	cells map[ID]map[string]knownLevel // by account
}

type knownLevel struct {
	tokens float64
	at     time.Time
}

func newLevelSet() *levelSet { return &levelSet{cells: make(map[ID]map[string]knownLevel)} }

// record records the level that a dispatcher has replied.
func (l *levelSet) record(id ID, account string, level Level, now time.Time) {
	if !level.Known {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cells[id] == nil {
		l.cells[id] = make(map[string]knownLevel)
	}
	l.cells[id][account] = knownLevel{level.Tokens, now}
}

// list returns the known levels of a cell by account. It drops those that are too old to tell anything: a bucket fills
// within maxLevelAge.
func (l *levelSet) list(id ID, now time.Time) map[string]AccountLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]AccountLevel, len(l.cells[id]))
	for account, known := range l.cells[id] {
		if now.Sub(known.at) > maxLevelAge {
			delete(l.cells[id], account)
			continue
		}
		out[account] = AccountLevel{known.tokens, now.Sub(known.at)}
	}
	return out
}

const maxLevelAge = time.Minute

// newestLevels adds the levels that an instance knows to those of others, if they are newer.
func newestLevels(to map[string]levelReport, now instant, levels map[string]AccountLevel) {
	for account, level := range levels {
		report := levelReport{level.Tokens, now.Add(-level.Age)}
		if known, ok := to[account]; !ok || report.at.After(known.at) {
			to[account] = report
		}
	}
}
