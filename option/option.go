// Package option reads and checks the settings file of an instance.
package option

import (
	"strings"
	"time"
)

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
	Evacuations   bool     `yaml:"evacuations"`
	Regions       []string `yaml:"regions"`
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

// Source says where routes, client accounts and servers come from.
type Source = string

// Values of Options.Source.
const (
	SourceRules = "rules" // a rules file that operators apply
	SourceStore = "store" // the operator's configuration and the servers' entries in the platform store
)

// Values of Engine.Stages.
const (
	StagesBalance = "balance" // engines are ordered to change between prefill and decode as the load requires
	StagesKeep    = "keep"    // engines keep their stage
)

// Values of Engine.Place. With PlaceCell, dispatchers that know all reservations place the requests. The others are
// baselines for comparison, with which each instance decides by what it alone has observed.
const (
	PlaceCell          = "cell"
	PlaceRoundRobin    = "robin"
	PlaceLeastRequests = "least"
	PlaceEWMA          = "ewma"
)

// RegionOf returns the region of each availability zone that Regions names.
func (o *Options) RegionOf() map[string]string {
	out := make(map[string]string, len(o.Regions))
	for _, entry := range o.Regions {
		zone, region, _ := strings.Cut(entry, regionSeparator)
		out[zone] = region
	}
	return out
}

// regionSeparator stands between the zone and the region in an entry of Options.Regions.
const regionSeparator = "="

// Retry limits the attempts beyond the first of each request that all instances together send to a service.
type Retry struct {
	Share  float64       `yaml:"share"`  // retries as a share of the requests, from 0 to 1
	Extra  int           `yaml:"extra"`  // retries allowed on top of the share
	Window time.Duration `yaml:"window"` // not used: the retry budgets are token buckets, which need no window
}

// Engine sets which orders model engines get, and how requests are placed on them.
type Engine struct {
	Fenced bool   `yaml:"fenced"` // whether engines refuse orders with an old fencing number
	Stages string `yaml:"stages"` // whether engines are ordered to change their stage
	Place  string `yaml:"place"`  // how requests are placed on engines
}

// Stop limits the shutdown of the process.
type Stop struct {
	Grace time.Duration `yaml:"grace"` // time between SIGTERM and SIGKILL
}

// TLS names the certificate files of a listener. Without them the listener does not use TLS.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// PeerTLS names the files of the certificate that an instance presents to other instances, and of the authority that
// signed theirs.
type PeerTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Enabled reports whether calls between instances use TLS.
func (t PeerTLS) Enabled() bool { return t.Certificate != "" }

// Limit sets the limits on what callers, and the process as a whole, may use.
type Limit struct {
	Connections int           `yaml:"connections"`
	Header      int           `yaml:"header"`      // bytes
	Body        int64         `yaml:"body"`        // bytes
	Memory      int64         `yaml:"memory"`      // bytes of request bodies held at once
	Heads       int64         `yaml:"heads"`       // bytes of request headers held at once, as parsed
	Begin       time.Duration `yaml:"begin"`       // time to send the request header
	Stall       time.Duration `yaml:"stall"`       // total time that one request waits for a slow caller
	Pace        int64         `yaml:"pace"`        // bytes per second below which a caller counts as slow
	Idle        time.Duration `yaml:"idle"`        // time after which a connection without a request is closed
	Process     int64         `yaml:"process"`     // bytes of memory that the process may use; 0 for that of the machine
	Descriptors int           `yaml:"descriptors"` // file descriptors that the process may use; 0 for the limit of the process
}

// Logging sets the format and level of the log.
type Logging struct {
	Format string `yaml:"format"`
	Level  string `yaml:"level"`
}

// Default returns the default settings.
func Default() *Options {
	return &Options{
		Limit: Limit{
			Connections: 8192,
			Header:      64 << 10,
			Body:        16 << 20,
			Memory:      64 << 20,
			Heads:       64 << 20,
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
