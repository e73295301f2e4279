// Package option reads the settings of one process.
package option

import (
	"fmt"
	"net"
	"os"

	"github.com/goccy/go-yaml"
)

// Options are the settings of one instance; docs/SETTINGS.md lists them.
type Options struct {
	Name          string   `yaml:"name"`           // unique name of the instance
	Zone          string   `yaml:"zone"`           // availability zone
	Listen        string   `yaml:"listen"`         // address for callers
	Admin         string   `yaml:"admin"`          // address for operators
	Peer          string   `yaml:"peer"`           // address for other instances
	Peers         []string `yaml:"peers"`          // addresses of some other instances, for a start without the platform
	Platform      string   `yaml:"platform"`       // URL of the platform's object API
	PlatformToken string   `yaml:"platform-token"` // file with the platform's token
	AdminToken    string   `yaml:"admin-token"`    // file with the operators' token
	PeerToken     string   `yaml:"peer-token"`     // file with the secret shared by the instances
	TLS           TLS      `yaml:"tls"`
	Log           Logging  `yaml:"log"`
}

// TLS names the certificate of the callers' listener; without it the listener is plain.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Logging sets the form and level of the log.
type Logging struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warning or error
}

// Read loads and checks a settings file.
func Read(file string) (*Options, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("option: unable to read the settings: %w", err)
	}
	o := Default()
	if err := yaml.UnmarshalWithOptions(text, o, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("option: %s: %w", file, err)
	}
	if err := o.Check(); err != nil {
		return nil, fmt.Errorf("option: %s: %w", file, err)
	}
	return o, nil
}

// Default returns the settings that a file may leave out.
func Default() *Options {
	return &Options{Log: Logging{Format: "text", Level: "info"}}
}

// Check reports the first setting that is missing or can't be used.
func (o *Options) Check() error {
	required := []struct{ name, value string }{
		{"name", o.Name}, {"zone", o.Zone}, {"platform", o.Platform},
	}
	for _, f := range required {
		if f.value == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	addresses := []struct{ name, value string }{{"listen", o.Listen}, {"admin", o.Admin}, {"peer", o.Peer}}
	for _, f := range addresses {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return fmt.Errorf("%s: %q is not an IP number and port", f.name, f.value)
		}
	}
	return nil
}
