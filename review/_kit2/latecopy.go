package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of lateCopy.
const (
	copyInstances = 2
	copyServers   = 2               // one of them, 0.5 of the service, sends copies
	copyShare     = 0.03            // of its answers
	copyFor       = 5 * time.Second // for which it does
	copyPause     = 5 * time.Second // between two such times
	copyRounds    = 4
	copyCallers   = 20                    // of each client account at each instance
	copyWork      = 15 * time.Millisecond // time that a request takes at a server
	copyThink     = 40 * time.Millisecond // from an answer to the caller's next request
	copyBudget    = 2 * time.Second
)

// rulesSettings are the settings of instances that take their configuration from a rules file, as in examples/.
const rulesSettings = `source: rules
platform-token: %[1]q
admin-token: %[1]q
peer-token: %[1]q
`

// copyingServer is a plain service that answers each request, and at times sends an answer once more, late: at the point
// where the next answer on the connection is expected.
type copyingServer struct {
	sendsCopies atomic.Bool
	mu          sync.Mutex
	runs        map[string]int // by the id of the request
	copies      int
}

// listen serves on a free port and returns its address.
func (s *copyingServer) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return l.Addr().String(), nil
}

// serve answers the requests of a connection, one after the other.
func (s *copyingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := "" // copy of an answer that is still to be sent
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if late != "" {
			_, _ = io.WriteString(conn, late)
			late = ""
		}
		time.Sleep(copyWork)
		id := r.Header.Get("Attempt-Id")
		body := "state of the order of " + id
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		s.mu.Lock()
		s.runs[id]++
		if s.sendsCopies.Load() && rand.Float64() < copyShare {
			late = text
			s.copies++
		}
		s.mu.Unlock()
	}
}

// lateCopy has a server send late copies of answers to instances that take their configuration from a rules file.
func lateCopy(b *bed, trouble bool) (bool, error) {
	servers := make([]*copyingServer, copyServers)
	rules := ""
	for n := range servers {
		servers[n] = &copyingServer{runs: make(map[string]int)}
		address, err := servers[n].listen()
		if err != nil {
			return false, err
		}
		rules += fmt.Sprintf("- {server: s%d, pool: shopfront, zone: a, at: %q, state: live}   # review: a server\n", n, address)
	}
	keys := []string{"almaty-key-3d3zji9n73hh2b9wu3fe", "astana-key-xd9dnn2ctnfzs989anu6"}
	if err := b.applyRules(rules, keys); err != nil {
		return false, err
	}
	if err := b.awaitInstances(); err != nil {
		return false, err
	}
	stop := time.Now().Add(copyRounds * (copyFor + copyPause))
	var foreign atomic.Int64
	answers := &answerCounts{byResult: make(map[string]int)}
	var sending sync.WaitGroup
	for n, i := range b.instances {
		for k, key := range keys {
			for m := range copyCallers {
				sending.Go(func() { foreign.Add(int64(b.askUntil(stop, answers, i.front, key, fmt.Sprintf("%x%x%02x", n, k, m)))) })
			}
		}
	}
	for range copyRounds {
		if trouble {
			b.record.printf("a server sends a copy of %.2f of its answers, for %v", copyShare, copyFor)
			servers[0].sendsCopies.Store(true)
		}
		time.Sleep(copyFor)
		servers[0].sendsCopies.Store(false)
		time.Sleep(copyPause)
	}
	sending.Wait()
	for n, s := range servers {
		s.mu.Lock()
		b.record.printf("server s%d ran %d requests and had %d copies to send", n, len(s.runs), s.copies)
		s.mu.Unlock()
	}
	b.record.printf("requests sent, by what came back: %v", answers.byResult)
	b.record.printf("%d callers got the answer to another request", foreign.Load())
	return foreign.Load() > 0, nil
}

// applyRules prepares instances with a rules file, and applies the file with the router's own command.
func (b *bed) applyRules(servers string, keys []string) error {
	token := filepath.Join(b.dir, "token")
	if err := os.WriteFile(token, []byte("trial-token"), 0o600); err != nil {
		return err
	}
	if err := b.addInstances(copyInstances, fmt.Sprintf(rulesSettings, token)); err != nil {
		return err
	}
	rules := `- {fleet: review, shards: 16}   # review: a small fleet
- {pool: shopfront, duty: plain, slots: 64}   # review: the orders
- {route: status, path: /status, pool: shopfront, calls: idempotent, open: no, class: order}   # review: state of an order
`
	for n, key := range keys {
		hash := sha256.Sum256([]byte(key))
		rules += fmt.Sprintf("- {account: shop%d, rate: 100000, burst: 100000, weight: 1}   # review: a shop\n", n) +
			fmt.Sprintf("- {key: \"sha256:%s\", account: shop%d}   # review: its key\n", hex.EncodeToString(hash[:]), n)
	}
	file := filepath.Join(b.dir, "rules.yaml")
	if err := os.WriteFile(file, []byte(rules+servers), 0o600); err != nil {
		return err
	}
	out, err := exec.Command(b.router, "apply", file, "--platform", "http://"+b.storeAt, "--platform-token", token).CombinedOutput()
	if err != nil {
		return fmt.Errorf("unable to apply the rules: %w: %s", err, out)
	}
	return nil
}

// answerCounts counts requests by what came back.
type answerCounts struct {
	mu       sync.Mutex
	byResult map[string]int
}

func (a *answerCounts) add(result string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byResult[result]++
}

// askUntil sends requests on a kept connection until a time, and returns how many got the answer to another request.
func (b *bed) askUntil(stop time.Time, answers *answerCounts, address, key, name string) int {
	foreign := 0
	var c *caller
	for n := 0; time.Now().Before(stop); n++ {
		if c == nil {
			var err error
			if c, err = connect(address); err != nil {
				time.Sleep(copyThink)
				continue
			}
		}
		id := fmt.Sprintf("9c41%s%06x", name, n)
		out, err := c.sendWithKey(key, http.MethodGet, "/status/2f", id, copyBudget, "", "")
		if err == nil {
			c.receive(out, http.MethodGet, out.sent.Add(copyBudget))
		}
		if err != nil || out.err != nil {
			answers.add("no whole answer")
			c.conn.Close()
			c = nil
			continue
		}
		answers.add(fmt.Sprintf("status %d", out.status))
		if out.status == http.StatusOK && out.answer != id {
			foreign++
			b.record.printf("%s got the answer to %s: %q", id, out.answer, out.body)
		}
		time.Sleep(copyThink)
	}
	return foreign
}
