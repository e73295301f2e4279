package allowance

import (
	"fmt"
	"time"

	"teaselgate/rule"
)

// oracle checks that in every interval an account got no more than its burst and rate.
type oracle struct {
	start    time.Time
	accounts map[string]*oracleAccount
}

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

// oracleSlack is the error of floating-point numbers, in tokens.
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

// change notes a new rule. What it takes away binds when the grants by the old rule have ended.
func (o *oracle) recordRuleChange(now time.Time, old, r rule.Account) {
	a := o.accounts[r.Account]
	overlap := r
	overlap.Rate, overlap.Burst = max(old.Rate, r.Rate), max(old.Burst, r.Burst)
	a.changes = append(a.changes, oracleChange{now, overlap}, oracleChange{now.Add(leaseDuration), r})
}

// check returns the first account that got too much. A bucket that starts full and never runs below zero holds the
// bound for every interval, and only it does.
func (o *oracle) check() error {
	for name, a := range o.accounts {
		if over, at := a.overshoot(); over > oracleTolerance {
			return fmt.Errorf("account %s is %.3f tokens over its bound at %v", name, over, at.Sub(o.start))
		}
	}
	return nil
}

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

// worst returns the largest overshoot of any account, in tokens.
func (o *oracle) worstOvershoot() float64 {
	worst := 0.0
	for _, a := range o.accounts {
		over, _ := a.overshoot()
		worst = max(worst, over)
	}
	return worst
}
