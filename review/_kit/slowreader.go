package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slow-reader"] = runSlowReader }

// The clients of the case.
const (
	readers     = 9
	answerBytes = 192 << 10
	readBytes   = 64 << 10        // a client reads so much at a time
	readPause   = 5 * time.Second // and then does something else, 13 KB a second on average
	pauses      = 2
)

// runSlowReader sends requests on kept channels and reads the answers slowly, but well within the time budget.
func runSlowReader(d *deployment) ([]string, error) {
	if err := d.put("config", "main", plainManifest(plainRoute("/orders/", "non_idempotent", 1))); err != nil {
		return nil, err
	}
	replicas, err := d.startPlainReplicas(3)
	if err != nil {
		return nil, err
	}
	if err := d.startInstances(3); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch from here on
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	for n := range readers {
		wg.Go(func() {
			i := d.instances[n%len(d.instances)]
			id := fmt.Sprintf("%016x", 1000+n)
			start := time.Now()
			read, err := readSlowly(d, i, n, id)
			took := time.Since(start).Round(time.Millisecond)
			d.record.Printf("client %d got %d of %d bytes of the answer to %s from %s after %v: %v",
				n, read, answerBytes, id, i.name, took, err)
			runs := replicas.byID(id)
			if err == nil || len(runs) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lost = append(lost, fmt.Sprintf(
				"%s was passed on to %s, which ran it, and its channel ended after %v of %v with %d of %d bytes: %v",
				id, runs[0].replica, took, timeBudgetMS*time.Millisecond, read, answerBytes, err))
		})
	}
	wg.Wait()
	if len(lost) <= 3 { // the rule allows three
		return nil, nil
	}
	return lost, nil
}

// readSlowly sends a short request and then one with a long answer on the same channel, and returns how many bytes of the
// long answer's body came. It returns nil if that was all.
func readSlowly(d *deployment, i *instance, n int, id string) (int, error) {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := exchange(conn, reader, fmt.Sprintf("%016x", n), 2, 0); err != nil {
		return 0, fmt.Errorf("first request on the channel: %w", err)
	}
	d.record.Printf("client %d sends %s to %s on its kept channel", n, id, i.name)
	resp, err := exchange(conn, reader, id, answerBytes, 0)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	total := 0
	for k := 0; ; k++ {
		read, err := io.CopyN(io.Discard, resp.Body, readBytes)
		total += int(read)
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if d.trouble && k < pauses {
			time.Sleep(readPause)
		}
	}
}
