// Package socket opens listeners whose accepted connections notice a peer that has gone silent.
package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Detection of silent connections.
const (
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	userTimeout       = 20 * time.Second // unacknowledged data
)

// Listen opens a TCP listener. Accepted connections inherit keepalive probes and TCP_USER_TIMEOUT,
// so that data or silence without acknowledgement ends them after about userTimeout.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: Control,
	}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("socket: unable to listen on %s: %w", address, err)
	}
	return listener, nil
}

// Control sets TCP_USER_TIMEOUT on a socket before it is bound or connected.
func Control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
