package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// process is an instance that runs as a process of its own and is restarted when it ends.
type process struct {
	name         string
	binary       string
	settingsPath string
	logFile      *os.File

	mu          sync.Mutex
	cmd         *exec.Cmd     // running process, or nil
	done        chan struct{} // closed when cmd has ended
	startedAt   time.Time     // of cmd
	autoRestart bool          // the process is restarted when it ends
	disturbed   []time.Time   // starts and signals to end, pause or resume
	toldToEnd   bool          // whether cmd got a signal to end
	ownEnds     int           // how often the process ended by itself
	peakMemory  int64         // most memory that was seen in use, in bytes
}

// restartDelay is the time from the end of a process to its restart, as by a process supervisor.
const restartDelay = 300 * time.Millisecond

// settingsFormat is the fmt format of the settings file of an instance.
const settingsFormat = `name: %s
zone: %s
listen: %s
admin: %s
peer: %s
platform: http://%s
source: store
evacuations: true
stop: {grace: %v}
retry: {share: 0.2, extra: 50, window: 10s}
limit: {begin: 1s, process: %d, memory: %d, descriptors: %d}
log: {format: json}
`

// newProcess writes the settings file of an instance and opens its log. It does not start the process.
func newProcess(binary, dir, name, zone, listen, admin, peer, store string, grace time.Duration) (*process, error) {
	p := &process{name: name, binary: binary, settingsPath: filepath.Join(dir, name+".yaml")}
	text := fmt.Sprintf(settingsFormat, name, zone, listen, admin, peer, store,
		grace, processMemory, processBodies, processFiles)
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("soak: unable to write settings: %w", err)
	}
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("soak: unable to open a log: %w", err)
	}
	p.logFile = logFile
	return p, nil
}

// start starts the process unless it is running, and restarts it each time it ends, until stop or shutDown.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.autoRestart = true
	if p.cmd != nil {
		return nil
	}
	cmd := exec.CommandContext(context.Background(), p.binary, "serve", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: unable to start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.toldToEnd, p.startedAt = cmd, done, false, time.Now()
	p.disturbed = append(p.disturbed, time.Now())
	go func() {
		_ = cmd.Wait() // a process that was killed ends with an error
		p.mu.Lock()
		p.cmd = nil
		restart := p.autoRestart
		if !p.toldToEnd {
			p.ownEnds++
		}
		p.mu.Unlock()
		close(done)
		if restart {
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				fmt.Fprintln(p.logFile, err)
			}
		}
	}()
	return nil
}

// stop ends the process with a signal. The process is not restarted until start is called, unless it ended within the
// last restartDelay before the call: then the restart that is due still takes place.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	p.autoRestart = false
	p.mu.Unlock()
	p.sendSignal(s)
}

// running returns a channel that is closed when the process that runs now has ended, or nil if none runs.
func (p *process) running() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.done
}

// sendSignal sends a signal to the process if it is running.
func (p *process) sendSignal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may have ended just before
		p.toldToEnd = p.toldToEnd || s == syscall.SIGKILL || s == syscall.SIGTERM
	}
	if s != syscall.SIGHUP {
		p.disturbed = append(p.disturbed, time.Now())
	}
}

// reload has the process reread its settings, unless it may not listen for the signal yet, which would end it.
func (p *process) reload() {
	p.mu.Lock()
	isReady := time.Since(p.startedAt) > restartDelay
	p.mu.Unlock()
	if isReady {
		p.sendSignal(syscall.SIGHUP)
	}
}

// disturbedWithin reports whether the process was started, or told to end, pause or resume, in a span of time.
func (p *process) disturbedWithin(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbed, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// shutDown resumes the process if it is paused, terminates it, and kills it if it has not ended within the grace
// period. As after stop, the process is not restarted, unless a restart is already due when shutDown is called.
func (p *process) shutDown(grace time.Duration) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.autoRestart = false
	p.mu.Unlock()
	defer p.logFile.Close()
	if cmd == nil {
		return
	}
	p.sendSignal(syscall.SIGCONT)
	p.sendSignal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		p.sendSignal(syscall.SIGKILL)
		<-done
	}
}
