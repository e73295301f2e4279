// Package option reads the settings of one process.
package option

import "time"

// Options are the settings of one instance; docs/SETTINGS.md lists them.
type Options struct {
	Name          string   `yaml:"name"`
	Zone          string   `yaml:"zone"`
	Listen        string   `yaml:"listen"`
	Admin         string   `yaml:"admin"`
	Metrics       string   `yaml:"metrics"`
	Peer          string   `yaml:"peer"`
	Peers         []string `yaml:"peers"`
	Platform      string   `yaml:"platform"`
	Source        Source   `yaml:"source"`
	PlatformToken string   `yaml:"platform-token"`
	AdminToken    string   `yaml:"admin-token"`
	PeerToken     string   `yaml:"peer-token"`
	TLS           TLS      `yaml:"tls"`
	AdminTLS      TLS      `yaml:"admin-tls"`
	PeerTLS       PeerTLS  `yaml:"peer-tls"`
	Limit         Limit    `yaml:"limit"`
	Retry         Retry    `yaml:"retry"`
	Engine        Engine   `yaml:"engine"`
	Stop          Stop     `yaml:"stop"`
	Log           Logging  `yaml:"log"`
}

// Source tells where routes, client accounts and servers come from.
type Source = string

// The sources.
const (
	SourceRules = "rules" // a rules file that operators apply
	SourceStore = "store" // the operator's configuration and the servers' entries in the platform's store
)

// The values of Engine.Stages.
const (
	StagesBalance = "balance" // the split between prefill and decode follows the load
	StagesKeep    = "keep"    // engines stay in the stage in which they are
)

// The values of Engine.Place. All but cells are baselines, which each instance runs by what it alone has seen.
const (
	PlaceCell  = "cell"
	PlaceRoundRobin = "robin"
	PlaceLeastRequests = "least"
	PlaceEWMA  = "ewma"
)

// Retry bounds what all instances together send to a service beyond the first time of each request.
type Retry struct {
	Share  float64       `yaml:"share"`  // of the requests
	Extra  int           `yaml:"extra"`  // on top of the share, in each window
	Window time.Duration `yaml:"window"` // in which both are counted
}

// Engine tells how model engines take orders.
type Engine struct {
	Fenced bool   `yaml:"fenced"` // whether they refuse an old fencing number
	Stages string `yaml:"stages"` // whether engines are ordered to change their stage
	Place  string `yaml:"place"`  // how requests are placed on engines
}

// Stop bounds the end of the process.
type Stop struct {
	Grace time.Duration `yaml:"grace"` // between SIGTERM and SIGKILL
}

// TLS names the certificate of a listener; without it the listener is plain.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Enabled tells whether a certificate is named.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// PeerTLS names the certificate that an instance shows to others, and the authority that signed theirs.
type PeerTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Enabled tells whether calls between instances use TLS.
func (t PeerTLS) Enabled() bool { return t.Certificate != "" }

// Limit bounds what callers may use of an instance.
type Limit struct {
	Connections int           `yaml:"connections"`
	Header      int           `yaml:"header"` // bytes
	Body        int64         `yaml:"body"`   // bytes
	Memory      int64         `yaml:"memory"` // bytes
	Begin       time.Duration `yaml:"begin"`
	Stall       time.Duration `yaml:"stall"`
	Pace        int64         `yaml:"pace"` // bytes per second
	Idle        time.Duration `yaml:"idle"`
	Process     int64         `yaml:"process"` // bytes of memory of the process; 0 leaves it to the runtime
}

// Logging sets the form and level of the log.
type Logging struct {
	Format string `yaml:"format"`
	Level  string `yaml:"level"`
}

// Default returns the settings that a file may leave out.
func Default() *Options {
	return &Options{
		Limit: Limit{
			Connections: 8192,
			Header:      64 << 10,
			Body:        16 << 20,
			Memory:      64 << 20,
			Begin:       5 * time.Second,
			Stall:       10 * time.Second,
			Pace:        4 << 10,
			Idle:        2 * time.Minute,
		},
		Source: SourceRules,
		Retry:  Retry{Share: 0.1, Extra: 20, Window: 10 * time.Second},
		Engine: Engine{Fenced: true, Stages: StagesBalance, Place: PlaceCell},
		Stop:   Stop{Grace: 45 * time.Second},
		Log:    Logging{Format: "text", Level: "info"},
	}
}
