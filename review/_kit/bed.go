// Command review-kit runs the cases of the review: a small deployment on loopback with the store, the replicas and the
// clients in this process and the instances of the router as processes of their own.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	standplatform "teaselgate/standin/platform"
)

// contactTime is contactMs, the longest of the sheets that the cases name.
const contactTime = 4 * time.Second

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// Printf adds a line with the time since the start of the case.
func (r *recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is the store, the replicas and the instances of a case.
type deployment struct {
	record    *recorder
	dir       string // temporary folder
	program   string // the router
	trouble   bool   // whether the case has its disruption
	store     *standplatform.Server
	storeURL  string
	instances []*instance

	mu      sync.Mutex
	closers []func()
}

// newDeployment starts the store.
func newDeployment(record *recorder, program string, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, dir: dir, program: program, trouble: trouble, store: standplatform.NewServer("")}
	d.storeURL, err = d.serve(d.store.Handler())
	return d, err
}

// serve serves a handler on a free loopback port until the end of the case, and returns its URL.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.atEnd(func() { server.Close() })
	return "http://" + listener.Addr().String(), nil
}

// atEnd has a function called at the end of the case.
func (d *deployment) atEnd(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, f)
}

// close ends all processes that the case started.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.kill()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.closers {
		c()
	}
	_ = os.RemoveAll(d.dir)
}

// put creates or replaces an object of the store.
func (d *deployment) put(kind, name string, spec any) error {
	text, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	for _, call := range []struct{ method, path string }{{"PUT", kind + "/" + name}, {"POST", kind}} {
		req, err := http.NewRequest(call.method, d.storeURL+"/-/objects/"+call.path, strings.NewReader(string(text)))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the store did not take %s/%s", kind, name)
}

// remove removes an object of the store.
func (d *deployment) remove(kind, name string) error {
	req, err := http.NewRequest(http.MethodDelete, d.storeURL+"/-/objects/"+kind+"/"+name, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// instance is a process of the router.
type instance struct {
	name, zone                          string
	front, ready, metrics, control, log string
	settings                            string // path of its settings file
	cmd                                 *exec.Cmd
	done                                chan struct{} // closed when the process has ended
}

// settingsFormat is the template deploy/settings.yaml as the platform fills it in.
const settingsFormat = `name: %q
zone: %q
listen: %q
admin: %q
metrics: %q
peer: %q
peers: [%s]
platform: %q
source: store
regions: ["zone-a=area","zone-b=area","zone-c=area"]
limit:
  process: 134000000
  memory: 32000000
retry:
  share: 0.2
  extra: 58
  window: 10s
engine:
  fenced: true
stop:
  grace: 8s
log:
  format: json
`

// startInstances starts n instances, one after the other in the zones, and waits until all are ready.
func (d *deployment) startInstances(n int) error {
	var peers []string
	for k := range n {
		addresses, err := freeAddresses(4)
		if err != nil {
			return err
		}
		zone := "zone-" + string(rune('a'+k%3))
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zone, k/3+1), zone: zone,
			front: addresses[0], ready: addresses[1], metrics: addresses[2], control: addresses[3],
		}
		i.log = filepath.Join(d.dir, i.name+".log")
		i.settings = filepath.Join(d.dir, i.name+".yaml")
		d.instances = append(d.instances, i)
		if k < 3 {
			peers = append(peers, fmt.Sprintf("%q", i.control))
		}
	}
	for _, i := range d.instances {
		text := fmt.Sprintf(settingsFormat, i.name, i.zone, i.front, i.ready, i.metrics, i.control,
			strings.Join(peers, ","), d.storeURL)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(i); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := i.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of an instance with the command of the deploy file.
func (d *deployment) start(i *instance) error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.cmd = exec.Command(d.program, "serve")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "TEASELGATE_NODE_FILE=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(i.cmd, i.done)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// kill ends the process.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	<-i.done
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if i.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(i.name + " is not ready")
}

func (i *instance) isReady() bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddresses returns n free addresses of one machine. Each machine has a loopback address of its own, so that a port can't be
// taken by an outgoing channel of another process before the instance listens there.
func freeAddresses(n int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
