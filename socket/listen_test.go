package socket

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestAcceptedConnectionsNoticeSilence(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	options := []struct {
		name          string
		level, option int
		want          int
	}{
		{"TCP_USER_TIMEOUT", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())},
		{"SO_KEEPALIVE", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{"TCP_KEEPIDLE", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle / time.Second)},
		{"TCP_KEEPINTVL", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval / time.Second)},
		{"TCP_KEEPCNT", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount},
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range options {
		var got int
		var failure error
		if err := raw.Control(func(fd uintptr) { got, failure = unix.GetsockoptInt(int(fd), o.level, o.option) }); err != nil {
			t.Fatal(err)
		}
		if failure != nil || got != o.want {
			t.Errorf("unexpected %s, got %v (%v) instead of %v", o.name, got, failure, o.want)
		}
	}
}
