package site

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/account"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
)

//go:embed rules.yaml
var baseRules string

const basePlacement = "place: cell"

// Account is a client account of the site, with its rule's values.
type Account struct {
	Name   string
	Rate   int64 // tokens per second
	Burst  int64 // tokens
	Weight int
}

// Config is the size of a site.
type Config struct {
	Instances       int
	PrefillEngines  int
	DecodeEngines   int
	Services        int
	Zones           []string
	Placement       rule.PlacementPolicy
	TargetScale     float64 // stretches the targets of the model; 0 leaves them as they are
	Accounts        []Account
	ConfigureEngine func(*standengine.Engine) // sets the figures of each engine; may be nil
	Log             *logrus.Logger

	BalancerDelay time.Duration // between an instance's end of readiness and the closing of its listener
}

// zone returns the availability zone of the nth part of a kind.
func (c Config) zone(n int) string { return c.Zones[n%len(c.Zones)] }

// rules returns the rules that every site of this shape starts from.
func (c Config) rules() string {
	if c.Placement == "" {
		return baseRules
	}
	placement := "place: " + string(c.Placement)
	if c.TargetScale > 0 {
		scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * c.TargetScale) }
		placement += fmt.Sprintf(", first: %s, between: %s, wait: %s",
			scaled(rule.DefaultFirstTokenTarget), scaled(rule.DefaultTokenIntervalTarget), scaled(rule.DefaultSummaryWait))
	}
	return strings.Replace(baseRules, basePlacement, placement, 1)
}

// addAccounts appends the rules of the accounts and returns the secret of each.
func (c Config) addAccounts(rules *strings.Builder) map[string]string {
	secrets := make(map[string]string)
	for _, a := range c.Accounts {
		secret, hash := account.NewKey()
		secrets[a.Name] = secret
		fmt.Fprintf(rules, "- {account: %s, rate: %d, burst: %d, weight: %d}   # site: made at the start\n", a.Name, a.Rate, a.Burst, a.Weight)
		fmt.Fprintf(rules, "- {key: %q, account: %s}   # site: made at the start\n", hash, a.Name)
	}
	return secrets
}
