package site

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/account"
	"teaselgate/option"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
)

// baseRules are the rules that every site starts with.
//
//go:embed rules.yaml
var baseRules string

// basePlacement is the text in baseRules that sets the placement policy.
const basePlacement = "place: cell"

// Account is a client account of the site, with the values of its rule.
type Account struct {
	Name   string
	Rate   int64 // tokens per second
	Burst  int64 // tokens
	Weight int
}

// Config describes a site to start.
type Config struct {
	Instances       int
	PrefillEngines  int
	DecodeEngines   int
	Services        int                  // plain services
	Zones           []string             // availability zones, which the parts of each kind take in turn
	Placement       rule.PlacementPolicy // placement policy of the model; empty leaves the base rules as they are
	TargetScale     float64              // factor on the latency targets of the model if Placement is set; 0 means 1
	Accounts        []Account
	ConfigureEngine func(*standengine.Engine) // changes the settings of each engine before it runs; may be nil
	Log             *logrus.Logger
	TLS             option.TLS // certificate of the listeners for callers; empty for connections without TLS

	BalancerDelay   time.Duration // time from the end of readiness of an instance to the closing of its listener
	ShutdownTimeout time.Duration // time from then to the shutdown deadline; 0 means that of package instance
}

// zone returns the availability zone of the nth instance, engine or service.
func (c Config) zone(n int) string { return c.Zones[n%len(c.Zones)] }

// rules returns the base rules with the placement policy and targets of this configuration.
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

// addAccounts appends the rules of the client accounts and returns the API key of each, by its name.
func (c Config) addAccounts(rules *strings.Builder) map[string]string {
	apiKeys := make(map[string]string)
	for _, a := range c.Accounts {
		secret, hash := account.NewKey()
		apiKeys[a.Name] = secret
		fmt.Fprintf(rules, "- {account: %s, rate: %d, burst: %d, weight: %d}   # site: made at the start\n",
			a.Name, a.Rate, a.Burst, a.Weight)
		fmt.Fprintf(rules, "- {key: %q, account: %s}   # site: made at the start\n", hash, a.Name)
	}
	return apiKeys
}
