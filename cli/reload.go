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

// settingsCheckInterval is the time between looks at the settings file, which may change without a signal.
const settingsCheckInterval = 5 * time.Second

// reloader puts changed settings in force while an instance runs. Its exported fields are set before Run.
type reloader struct {
	File     string
	Instance *instance.Instance

	content []byte // as last read
}

// newReloader returns a reloader that knows the file as it is now.
func newReloader(file string, i *instance.Instance) *reloader {
	content, _ := os.ReadFile(file) // it was read a moment ago; the next look tells what is wrong with it
	return &reloader{File: file, Instance: i, content: content}
}

// Run rereads the file at each SIGHUP, and when its content has changed, until the context ends.
func (r *reloader) Run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

func (r *reloader) reload(force bool) {
	content, err := os.ReadFile(r.File)
	if err == nil && bytes.Equal(content, r.content) && !force {
		return
	}
	r.content = content
	options, _, err := option.Read(r.File)
	if err != nil {
		r.Instance.RecordRejectedSettings(err)
		return
	}
	r.Instance.Reload(options)
}

// notifyHangup returns a channel of SIGHUPs; the signal no longer ends the process.
func notifyHangup() (hangups <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
