package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
)

const proxyBufferBytes = 32 << 10

// NewProxy starts a proxy of a server and returns its address. It passes what the server sends through rewrite, as much at
// a time as arrives at once. It ends with the test.
func NewProxy(t testing.TB, target string, rewrite func(text []byte) []byte) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { listener.Close() })
	serving.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { proxy(t.Context(), client, target, rewrite) })
		}
	})
	return listener.Addr().String()
}

// proxy connects a client to a server until one of them ends the connection or the context ends.
func proxy(ctx context.Context, client net.Conn, target string, rewrite func(text []byte) []byte) {
	defer client.Close()
	server, err := new(net.Dialer).DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	defer context.AfterFunc(ctx, func() { server.Close() })()
	go func() {
		_, _ = io.Copy(server, client)
		server.Close()
	}()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := server.Read(buffer)
		if err != nil {
			return
		}
		if _, err := client.Write(rewrite(buffer[:n])); err != nil {
			return
		}
	}
}
