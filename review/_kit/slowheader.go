package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-header"] = runSlowHeader }

// The times of the case, from the SIGTERM on. The grace period is 8 s (graceS).
const (
	keptChannels  = 6
	headerBegin   = 1900 * time.Millisecond // a client begins to send a header, while new channels may still come
	headerTime    = 2900 * time.Millisecond // and takes so long for it: less than headerTimeoutMs (3,000)
	keptSend      = 4600 * time.Millisecond // clients send requests on kept channels
	keptWork      = 3000 * time.Millisecond // the replica works so long on each of them
	keptIdleAhead = time.Second             // the channels have been idle for so long at the SIGTERM
)

// runSlowHeader sends SIGTERM to an instance while a client takes its time to send a header. Other clients send requests on
// channels that the instance keeps open meanwhile.
func runSlowHeader(d *deployment) ([]string, error) {
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
	leaving := d.instances[0]
	var channels []*keptChannel
	for n := range keptChannels {
		c, err := openKept(leaving, fmt.Sprintf("%016x", n+1))
		if err != nil {
			return nil, err
		}
		defer c.conn.Close()
		channels = append(channels, c)
	}
	time.Sleep(keptIdleAhead)
	start := time.Now()
	leaving.signal(syscall.SIGTERM)
	d.record.Printf("%s gets SIGTERM", leaving.name)
	var wg sync.WaitGroup
	if d.trouble {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(headerBegin)))
			d.record.Printf("a client begins to send a header to %s", leaving.name)
			status, err := sendSlowHeader(leaving, "00000000000000ff")
			d.record.Printf("that client gets status %d: %v", status, err)
		})
	}
	time.Sleep(time.Until(start.Add(keptSend)))
	var mu sync.Mutex
	var lost []string
	for n, c := range channels {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 1000+n)
			d.record.Printf("client %d sends %s to %s on its kept channel", n, id, leaving.name)
			_, err := exchange(c.conn, c.reader, id, 2, keptWork)
			d.record.Printf("client %d: the answer to %s: %v", n, id, err)
			if runs := replicas.byID(id); err != nil && len(runs) > 0 {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, fmt.Sprintf("%s, sent %v after the SIGTERM, was passed on to %s, which ran it, and its channel ended without an answer after %v: %v",
					id, keptSend, runs[0].replica, time.Since(start).Round(time.Millisecond), err))
			}
		})
	}
	wg.Wait()
	return lost, nil
}

// keptChannel is a channel on which a request was answered.
type keptChannel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openKept(i *instance, id string) (*keptChannel, error) {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		return nil, err
	}
	c := &keptChannel{conn: conn, reader: bufio.NewReader(conn)}
	if _, err := exchange(conn, c.reader, id, 2, 0); err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// sendSlowHeader sends a request whose header takes headerTime, and returns the status of its answer.
func sendSlowHeader(i *instance, id string) (int, error) {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\n", plainHost); err != nil {
		return 0, err
	}
	time.Sleep(headerTime)
	_, err = fmt.Fprintf(conn, "Attempt-Id: %s\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", id, clientKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
