package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselgate/standin/backend"
	"teaselgate/standin/platform"
)

// record writes the lines of record.txt with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// bed is a small deployment on loopback.
type bed struct {
	record    *record
	router    string // the router's program
	dir       string // temporary folder
	storeAt   string // address of the store
	instances []*instance
	engines   sync.Map // *backend.Server by address
	stopping  sync.Mutex
}

// instance is a process of the router.
type instance struct {
	name               string
	front, ready, peer string // addresses
	settings           string // file
	cmd                *exec.Cmd
	log                *os.File
	done               chan struct{} // closed when the process has ended
}

// newBed starts the store.
func newBed(router string, out io.Writer) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{record: &record{start: time.Now(), out: out}, router: router, dir: dir}
	b.storeAt, err = serve(platform.NewServer("").Handler())
	return b, err
}

// serve starts an HTTP server on a free port and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// put creates an object in the store, as the operator or a backend server does.
func (b *bed) put(kind, name string, spec any) error {
	text, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+b.storeAt+"/-/objects/"+kind, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d to the write of %s/%s", resp.StatusCode, kind, name)
	}
	return nil
}

// addServer starts a stand-in of a backend server and registers it. The stage is empty for a plain service.
func (b *bed) addServer(service, stage string, s *backend.Server) error {
	s.Stage = stage
	s.FindServer = func(address string) *backend.Server {
		source, _ := b.engines.Load(address)
		engine, _ := source.(*backend.Server)
		return engine
	}
	address, err := serve(s.Init())
	if err != nil {
		return err
	}
	b.engines.Store(address, s)
	return b.register(service, stage, s.ID, address, s.Slots)
}

// register writes the entry of a backend server.
func (b *bed) register(service, stage, id, address string, slots int) error {
	spec := map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	if stage != "" {
		spec["stage"] = stage
		spec["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return b.put("servers", id, spec)
}

// settingsTemplate is the common part of the settings: the template of the deploy file, filled in for a machine with the
// limits of the site, without the part that says where the configuration comes from.
const settingsTemplate = `name: %q
zone: "a"
listen: %q
admin: %q
metrics: %q
peer: %q
peers: [%s]
platform: "http://%s"
limit:
  process: 134000000
  memory: 32000000
  descriptors: 4100
retry:
  share: 0.2
  extra: 58
  window: 10s
stop:
  grace: 8s
log:
  format: json
`

// storeSettings are the settings of instances that take their configuration from the store, as the deploy file's template
// has them.
const storeSettings = `source: store
regions: ["a=a"]
engine:
  fenced: true
`

// addInstances prepares instances. The seeds of each are the first three.
func (b *bed) addInstances(count int, settings string) error {
	var seeds, metrics []string
	for n := range count {
		ports, err := freeAddresses(4)
		if err != nil {
			return err
		}
		b.instances = append(b.instances, &instance{
			name: fmt.Sprintf("front-a-%d", n+1), front: ports[0], ready: ports[1], peer: ports[2],
		})
		metrics = append(metrics, ports[3])
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", ports[2]))
		}
	}
	for n, i := range b.instances {
		i.settings = filepath.Join(b.dir, i.name+".yaml")
		text := fmt.Sprintf(settingsTemplate, i.name, i.front, i.ready, metrics[n], i.peer, strings.Join(seeds, ","), b.storeAt)
		if err := os.WriteFile(i.settings, []byte(text+settings), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freeAddresses returns loopback addresses with different free ports.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Times of a start.
const (
	startSpacing = 300 * time.Millisecond // machines start within 0.3 s of each other
	readyTimeout = 15 * time.Second
	contactTime  = 3500 * time.Millisecond // longer than contactMs of the site
)

// startInstances starts instances that take their configuration from the store, and waits until they are ready and have
// been in touch for contactMs.
func (b *bed) startInstances(count int) error {
	if err := b.addInstances(count, storeSettings); err != nil {
		return err
	}
	return b.awaitInstances()
}

// awaitInstances starts the instances, and waits until they are ready and have been in touch for contactMs.
func (b *bed) awaitInstances() error {
	for n, i := range b.instances {
		if n > 0 {
			time.Sleep(startSpacing / time.Duration(len(b.instances)))
		}
		if err := b.start(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, i := range b.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime)
	return nil
}

// start starts the process of an instance, with the command of the deploy file.
func (b *bed) start(i *instance) error {
	b.stopping.Lock()
	defer b.stopping.Unlock()
	var err error
	if i.log, err = os.Create(filepath.Join(b.dir, i.name+".log")); err != nil {
		return err
	}
	i.cmd = exec.Command(b.router, "serve")
	i.cmd.Env = []string{"TEASELGATE_NODE_FILE=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + b.dir}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func() {
		_ = i.cmd.Wait()
		close(i.done)
	}()
	b.record.printf("%s starts", i.name)
	return nil
}

// signal sends a signal to the process of an instance.
func (b *bed) signal(i *instance, s syscall.Signal) error {
	b.record.printf("%s gets the signal %v", i.name, s)
	return i.cmd.Process.Signal(s)
}

// isReady asks an instance whether it is ready, as the platform does.
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
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends the processes that were started and removes the temporary folder.
func (b *bed) close() {
	b.stopping.Lock() // no process starts from now on
	for _, i := range b.instances {
		if i.done == nil {
			continue
		}
		_ = i.cmd.Process.Kill()
		<-i.done
		i.log.Close()
	}
	os.RemoveAll(b.dir)
}
