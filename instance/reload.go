package instance

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"teaselgate/event"
	"teaselgate/option"
)

// settings returns the settings of the last reload, or of the start before the first reload.
func (i *Instance) settings() *option.Options {
	if o := i.reloaded.Load(); o != nil {
		return o
	}
	return i.Options
}

// Reload applies the new settings that need no restart: the retry budget and the log level. It records an event that
// names the changed settings that need a restart.
func (i *Instance) Reload(o *option.Options) {
	old := i.settings()
	if i.Log != nil {
		if level, err := logrus.ParseLevel(o.Log.Level); err == nil {
			i.Log.SetLevel(level)
		}
	}
	i.reloaded.Store(o)
	pending := i.pendingRestart(old, o)
	detail := "all in force"
	if len(pending) > 0 {
		detail = "in force after a restart: " + strings.Join(pending, ", ")
	}
	i.events.Record(event.Event{Code: event.SettingsReloaded, Detail: detail})
}

// RecordRejectedSettings records that new settings could not be read, so that the old ones stay in force.
func (i *Instance) RecordRejectedSettings(err error) {
	i.events.Record(event.Event{Code: event.SettingsRejected, Detail: err.Error()})
}

// pendingRestart returns the names of the changed settings that need a restart.
func (i *Instance) pendingRestart(old, current *option.Options) []string {
	var out []string
	for _, f := range option.Fields {
		if f.Reloadable() || fmt.Sprint(f.Value(old)) == fmt.Sprint(f.Value(current)) {
			continue
		}
		out = append(out, f.Name)
	}
	return out
}
