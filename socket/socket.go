// Package socket sets TCP options with which the kernel detects dead connections.
package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a TCP connection. Together they close a dead connection within five seconds.
const (
	DialTimeout       = time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 4 * time.Second // how long sent data may stay unacknowledged
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// NewListenConfig returns a configuration whose accepted connections fail within seconds when the other end is
// unreachable.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// Listen opens a TCP listener with the configuration of NewListenConfig.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := NewListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("socket: unable to listen on %s: %w", address, err)
	}
	return listener, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT. Accepted sockets inherit it from their listener.
func setUserTimeout(network, address string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("socket: unable to set options of %s %s: %w", network, address, err)
	}
	return nil
}

// RefusalTimeout is the time within which a host that is reachable refuses a connection to a process that has ended: some
// times the delay between availability zones.
const RefusalTimeout = 100 * time.Millisecond

// MaxHeadBytes is how much of the head of a response is read. The heads of servers that are sound have less than 2 KB.
const MaxHeadBytes = 64 << 10

// RefusesConnections reports whether nothing listens at an address: the host is reachable and the process has ended.
func RefusesConnections(
	ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string,
) bool {
	ctx, stop := context.WithTimeout(ctx, RefusalTimeout)
	defer stop()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
