package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaselgate/socket"
	"teaselgate/standin/caller"
)

// Sizes and times of the crowds of clients that misbehave. None of their requests may run.
const (
	maxCrowdClients  = 400
	crowdLengthSpan  = 3 * time.Second // longest time of a crowd
	crowdPauseSpan   = 2 * time.Second // longest time between two crowds
	crowdReconnect   = 50 * time.Millisecond
	crowdBlockPause  = 5 * time.Millisecond
	crowdBytePause   = 50 * time.Millisecond
	crowdRepeats     = 200 // requests on a connection whose answers are not read
	crowdHeadFields  = 9000
	crowdBodyBytes   = 100_000
	callerShare      = 0.7 // share of the crowds that call the listener for callers
	processMemory    = 134_000_000
	processFiles     = 4100
	processBodies    = 32_000_000
	memorySampleTime = 300 * time.Millisecond
)

// misbehave uses a connection until it is closed or the context ends.
type misbehave func(ctx context.Context, conn net.Conn) error

// crowdKinds are the ways in which clients misbehave. Their requests have no key, or are not complete.
var crowdKinds = []misbehave{
	sendAndWait(""),
	sendAndWait(crowdHead + shortFields(crowdHeadFields)),
	sendAndWait(crowdHead + "A: " + strings.Repeat("a", crowdBodyBytes)),
	sendAndWait(crowdHead + "Content-Length: 4000\r\n\r\n" + strings.Repeat("x", crowdBodyBytes/50)),
	sendAndWait(strings.Repeat(crowdHead+"Content-Length: 0\r\n\r\n", crowdRepeats)),
	repeat("", "\r\n"),
	repeat(crowdHead, shortFields(1)),
	repeat(crowdHead+"Transfer-Encoding: chunked\r\n\r\n1;", "a"),
	sendBytewise(crowdHead),
}

// crowdHead is the beginning of a head without a key.
const crowdHead = "POST /order/crowd HTTP/1.1\r\nHost: " + caller.Host + "\r\n"

// shortFields returns n header fields of a few bytes, each with a name of its own.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// sendAndWait sends a text and reads nothing.
func sendAndWait(text string) misbehave {
	return func(ctx context.Context, conn net.Conn) error {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

// repeat sends a text and then another one again and again.
func repeat(first, again string) misbehave {
	block := strings.Repeat(again, 4096/len(again))
	return func(ctx context.Context, conn net.Conn) error {
		_, err := io.WriteString(conn, first)
		for err == nil {
			wait(ctx, crowdBlockPause)
			_, err = io.WriteString(conn, block)
		}
		return err
	}
}

// sendBytewise sends a text a byte at a time.
func sendBytewise(text string) misbehave {
	return func(ctx context.Context, conn net.Conn) error {
		for _, b := range []byte(text) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return err
			}
			wait(ctx, crowdBytePause)
		}
		return nil
	}
}

// sendCrowds sends one crowd after the other to listeners of the instances until the context ends.
func (s *Soak) sendCrowds(ctx context.Context, env *environment) {
	random := rand.New(rand.NewPCG(s.Seed, 90)) // streams 10 to 89 are for limits
	for ctx.Err() == nil {
		address := env.addresses[random.IntN(len(env.addresses))]
		if random.Float64() >= callerShare {
			address = env.otherAddresses[random.IntN(len(env.otherAddresses))]
		}
		run, count := crowdKinds[random.IntN(len(crowdKinds))], 1+random.IntN(maxCrowdClients)
		length := time.Duration(random.Int64N(int64(crowdLengthSpan)))
		crowdCtx, stop := context.WithTimeout(ctx, length)
		var clients sync.WaitGroup
		for range count {
			clients.Go(func() { runCrowdClient(crowdCtx, address, run) })
		}
		clients.Wait()
		stop()
		wait(ctx, time.Duration(random.Int64N(int64(crowdPauseSpan))))
	}
}

// runCrowdClient opens one connection after the other until the context ends.
func runCrowdClient(ctx context.Context, address string, run misbehave) {
	for ctx.Err() == nil {
		conn, err := socket.NewDialer().DialContext(ctx, "tcp", address)
		if err == nil {
			release := context.AfterFunc(ctx, func() { conn.Close() })
			_ = run(ctx, conn) // the instance may close the connection at any time
			release()
			conn.Close()
		}
		wait(ctx, crowdReconnect)
	}
}

// watchMemory notes the most memory that each instance uses, until the context ends.
func (e *environment) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range e.processes {
			p.sampleMemory()
		}
		wait(ctx, memorySampleTime)
	}
}

// sampleMemory notes the most memory that the process has used, if it is running.
func (p *process) sampleMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return // it has just ended
	}
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		if kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64); err == nil {
			p.peakMemory = max(p.peakMemory, kb<<10)
		}
	}
}

// checkProcesses checks that no instance exceeded the memory of its machine or ended by itself.
func (c *clients) checkProcesses() {
	for _, p := range c.env.processes {
		p.mu.Lock()
		if p.peakMemory > processMemory {
			c.addViolation("%s used %d bytes of memory, %d are allowed", p.name, p.peakMemory, processMemory)
		}
		if p.ownEnds > 0 {
			c.addViolation("%s ended by itself %d times", p.name, p.ownEnds)
		}
		p.mu.Unlock()
	}
}
