// Package option reads the settings of one process.
package option

import "time"

// Options are the settings of one instance; docs/SETTINGS.md lists them.
type Options struct {
	Name          string   `yaml:"name"`
	Zone          string   `yaml:"zone"`
	Listen        string   `yaml:"listen"`
	Admin         string   `yaml:"admin"`
	Peer          string   `yaml:"peer"`
	Peers         []string `yaml:"peers"`
	Platform      string   `yaml:"platform"`
	PlatformToken string   `yaml:"platform-token"`
	AdminToken    string   `yaml:"admin-token"`
	PeerToken     string   `yaml:"peer-token"`
	TLS           TLS      `yaml:"tls"`
	AdminTLS      TLS      `yaml:"admin-tls"`
	PeerTLS       PeerTLS  `yaml:"peer-tls"`
	Limit         Limit    `yaml:"limit"`
	Log           Logging  `yaml:"log"`
}

// TLS names the certificate of a listener; without it the listener is plain.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Set tells whether a certificate is named.
func (t TLS) Set() bool { return t.Certificate != "" }

// PeerTLS names the certificate that an instance shows to others, and the authority that signed theirs.
type PeerTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Set tells whether calls between instances use TLS.
func (t PeerTLS) Set() bool { return t.Certificate != "" }

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
		Log: Logging{Format: "text", Level: "info"},
	}
}
