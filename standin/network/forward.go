package network

import (
	"context"
	"io"
	"net"
	"sync"

	"teaselgate/socket"
)

// Forward listens on loopback and carries real connections from one host to a server at another one, over the links of both,
// until the context ends. It returns its address, which the processes of the first host call.
func (n *Network) Forward(ctx context.Context, from, to *Host, server func() string) (string, error) {
	listener, err := socket.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go n.carry(ctx, client, from, to, server())
		}
	}()
	return listener.Addr().String(), nil
}

// carry carries a connection until either side closes it or the context ends.
func (n *Network) carry(ctx context.Context, client net.Conn, from, to *Host, address string) {
	defer client.Close()
	server, err := socket.NewDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return // the client sees that its connection is closed
	}
	defer server.Close()
	toServer, toClient := newConn(server, from, to, n.Latency), newConn(client, to, from, n.Latency)
	closeBoth := func() { toServer.Close(); toClient.Close() }
	defer context.AfterFunc(ctx, closeBoth)()
	var copying sync.WaitGroup
	for _, way := range [][2]net.Conn{{toServer, client}, {toClient, server}} {
		copying.Go(func() {
			_, _ = io.Copy(way[0], way[1]) // ends when either side closes, with whatever error
			closeBoth()
		})
	}
	copying.Wait()
}
