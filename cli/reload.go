package cli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"teaselgate/instance"
	"teaselgate/option"
)

// settingsInterval is the time between looks at the settings file, which may change without a signal.
const settingsInterval = 5 * time.Second

// reloader puts changed settings in force while an instance runs. Its exported fields are set before Run.
type reloader struct {
	File     string
	Instance *instance.Instance

	text []byte // as last read
}

// newReloader returns a reloader that knows the file as it is now.
func newReloader(file string, i *instance.Instance) *reloader {
	text, _ := os.ReadFile(file) // it was read a moment ago; the next look tells what is wrong with it
	return &reloader{File: file, Instance: i, text: text}
}

// Run rereads the file at each SIGHUP, and when its content has changed, until the context ends.
func (r *reloader) Run(ctx context.Context, hangup <-chan os.Signal) {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.reload(true)
		case <-tick.C:
			r.reload(false)
		}
	}
}

func (r *reloader) reload(asked bool) {
	text, err := os.ReadFile(r.File)
	if err == nil && bytes.Equal(text, r.text) && !asked {
		return
	}
	r.text = text
	options, _, err := option.Read(r.File)
	if err != nil {
		r.Instance.RecordRejectedSettings(err)
		return
	}
	r.Instance.Reload(options)
}

// notifyHangup returns a channel of SIGHUPs; the signal no longer ends the process.
func notifyHangup() (hangup <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
