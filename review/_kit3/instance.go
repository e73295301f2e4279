package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is a process of the router on a machine of its own.
type instance struct {
	name, zone                    string
	front, ready, control, metric string
	settings                      string
	process                       *exec.Cmd
	done                          chan struct{}
}

// deployFile is the project's template of an instance's settings.
const deployFile = "deploy/settings.yaml"

// program is the program as the deploy file builds it.
const program = "target/teaselgate"

// newInstances returns n instances with free addresses. The first three are the seeds of all.
func newInstances(n int, zones []string) ([]*instance, error) {
	var out []*instance
	var held []net.Listener
	for i := range n {
		in := &instance{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)]}
		for _, address := range []*string{&in.front, &in.ready, &in.control, &in.metric} {
			listener, err := listenBelowEphemeral()
			if err != nil {
				return nil, err
			}
			held = append(held, listener)
			*address = listener.Addr().String()
		}
		out = append(out, in)
	}
	for _, listener := range held {
		listener.Close()
	}
	return out, nil
}

// listenBelowEphemeral listens on a free port that the kernel gives to no outgoing connection.
func listenBelowEphemeral() (net.Listener, error) {
	const first, ports, tries = 20000, 11000, 100
	var listener net.Listener
	var err error
	for range tries {
		var config net.ListenConfig
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(ports))
		if listener, err = config.Listen(context.Background(), "tcp", address); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// writeSettings fills in the template as the platform does.
func (in *instance) writeSettings(folder string, zones []string, all []*instance, storeAddress string, fenced bool) error {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return err
	}
	var seeds, places []string
	for _, other := range all[:min(3, len(all))] {
		seeds = append(seeds, `"`+other.control+`"`)
	}
	for _, zone := range zones {
		places = append(places, `"`+zone+`=region"`)
	}
	host, metricPort, _ := net.SplitHostPort(in.metric)
	out := string(text)
	for from, to := range map[string]string{
		`{{#seedNodes}}"{{.}}"{{,}}{{/seedNodes}}`:                                strings.Join(seeds, ","),
		`{{#zones}}"{{@}}={{.}}"{{,}}{{/zones}}`:                                  strings.Join(places, ","),
		"{{#bounds.evacuationMs}}\nevacuations: true\n{{/bounds.evacuationMs}}\n": "",
		"{{nodeName}}": in.name, "{{zone}}": in.zone, "{{listen.front}}": in.front, "{{listen.ready}}": in.ready,
		"{{ip}}": host, "{{internalPortRange.1}}": metricPort, "{{listen.control}}": in.control,
		"{{platform.address}}": storeAddress, "{{limits.memoryMb}}": "134", "{{limits.maxFds}}": "4100",
		"{{bounds.retryBudgetRatio}}": "0.2", "{{bounds.budgetSlack}}": "58", "{{bounds.budgetWindowS}}": "10",
		"{{bounds.requireFencing}}": fmt.Sprint(fenced), "{{bounds.graceS}}": "8",
	} {
		out = strings.ReplaceAll(out, from, to)
	}
	if strings.Contains(out, "{{") {
		return fmt.Errorf("the template of the settings has fields that this kit does not fill in:\n%s", out)
	}
	in.settings = filepath.Join(folder, in.name+".yaml")
	return os.WriteFile(in.settings, []byte(out), 0o600)
}

// start starts the process by the command of the deploy file.
func (in *instance) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.process = exec.CommandContext(context.Background(), program, "serve")
	in.process.Env = []string{"TEASELGATE_NODE_FILE=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	in.process.Stdout, in.process.Stderr = log, log
	if err := in.process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.done = done
	go func(p *exec.Cmd) { _ = p.Wait(); log.Close(); close(done) }(in.process)
	return nil
}

func (in *instance) signal(s syscall.Signal) { _ = in.process.Process.Signal(s) }

// isReady asks the instance whether it takes channels, as the platform does.
func (in *instance) isReady() bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.ready+"/ready", bytes.NewReader(nil))
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

// kill ends the process and waits until it has ended.
func (in *instance) kill() {
	if in.process == nil {
		return
	}
	_ = in.process.Process.Kill()
	<-in.done
}
