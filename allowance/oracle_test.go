package allowance

import (
	"fmt"
	"time"

	"teaselgate/rule"
)

// oracle checks that the tokens admitted for an account in any interval don't exceed its burst plus its rate times the
// length of the interval.
type oracle struct {
	start    time.Time
	accounts map[string]*oracleAccount
}

// oracleAccount holds the admissions and rule changes of one account, in order of time.
type oracleAccount struct {
	admissions []*oracleAdmission
	changes    []oracleChange
}

type oracleAdmission struct {
	at     time.Time
	tokens int64
}

type oracleChange struct {
	at   time.Time
	rule rule.Account
}

// oracleTolerance allows for rounding errors of floating-point numbers, in tokens.
const oracleTolerance = 1e-3

func newOracle(now time.Time, rules []rule.Account) *oracle {
	o := &oracle{start: now, accounts: make(map[string]*oracleAccount)}
	for _, a := range rules {
		o.accounts[a.Account] = &oracleAccount{changes: []oracleChange{{now, a}}}
	}
	return o
}

func (o *oracle) recordAdmission(now time.Time, account string, tokens int64) *oracleAdmission {
	a := o.accounts[account]
	admission := &oracleAdmission{now, tokens}
	a.admissions = append(a.admissions, admission)
	return admission
}

// recordRuleChange records a new rule. A lower rate or burst is enforced only once all grants under the old rule have
// expired.
func (o *oracle) recordRuleChange(now time.Time, old, r rule.Account) {
	a := o.accounts[r.Account]
	overlap := r
	overlap.Rate, overlap.Burst = max(old.Rate, r.Rate), max(old.Burst, r.Burst)
	a.changes = append(a.changes, oracleChange{now, overlap}, oracleChange{now.Add(leaseDuration), r})
}

// check returns an error if any account has exceeded its bound. A bucket that starts full stays at or above zero if,
// and only if, the bound holds for every interval.
func (o *oracle) check() error {
	for name, a := range o.accounts {
		if over, at := a.overshoot(); over > oracleTolerance {
			return fmt.Errorf("account %s is %.3f tokens over its bound at %v", name, over, at.Sub(o.start))
		}
	}
	return nil
}

// overshoot returns the largest excess of the account over its bound, in tokens, and its time.
func (a *oracleAccount) overshoot() (worst float64, at time.Time) {
	r := a.changes[0].rule
	level, last := float64(r.Burst), a.changes[0].at
	next := 1
	refill := func(to time.Time) {
		level = min(float64(r.Burst), level+float64(r.Rate)*to.Sub(last).Seconds())
		last = to
	}
	for _, admission := range a.admissions {
		for next < len(a.changes) && a.changes[next].at.Before(admission.at) {
			refill(a.changes[next].at)
			r = a.changes[next].rule
			level = min(level, float64(r.Burst))
			next++
		}
		refill(admission.at)
		level -= float64(admission.tokens)
		if -level > worst {
			worst, at = -level, admission.at
		}
	}
	return worst, at
}

// worstOvershoot returns the largest overshoot of any account, in tokens.
func (o *oracle) worstOvershoot() float64 {
	worst := 0.0
	for _, a := range o.accounts {
		over, _ := a.overshoot()
		worst = max(worst, over)
	}
	return worst
}
