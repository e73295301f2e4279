package instance

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"teaselgate/event"
	"teaselgate/option"
)

// settings returns the settings in force: those of the start, or of the last reload.
func (i *Instance) settings() *option.Options {
	if o := i.reloaded.Load(); o != nil {
		return o
	}
	return i.Options
}

// Reload puts new settings in force as far as that goes without a restart: the retry budget and the log's level. The
// event names those that wait for one.
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

// RecordRejectedSettings notes settings that could not be read; the old ones stay in force.
func (i *Instance) RecordRejectedSettings(err error) {
	i.events.Record(event.Event{Code: event.SettingsRejected, Detail: err.Error()})
}

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
