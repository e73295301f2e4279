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

// settingsCheckInterval is the interval at which the settings file is read, since it may change without a signal.
const settingsCheckInterval = 5 * time.Second

// reloader applies changed settings to a running instance. Its exported fields are set before Run.
type reloader struct {
	File     string
	Instance *instance.Instance

	content []byte // content of the file when it was last read; nil if that failed
}

// newReloader returns a reloader that takes the current content of the file as already applied.
func newReloader(file string, i *instance.Instance) *reloader {
	content, _ := os.ReadFile(file) // serve has just read it; the next check reports an error
	return &reloader{File: file, Instance: i, content: content}
}

// Run reloads the settings at each SIGHUP, and when the file's content has changed, until the context ends.
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

// reload applies the settings file if its content has changed, or in any case with force.
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

// notifyHangup returns a channel that receives SIGHUPs. Until stop is called, SIGHUP does not end the process.
func notifyHangup() (hangups <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
