package allowance

import (
	"net"
	"testing"

	"teaselgate/peer"
)

func TestRefusedConnectionIsRecognised(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	pool := peer.NewPool("token")
	defer pool.Close()
	err = pool.Call(t.Context(), address, RPCName+".Probe", ProbeArgs{}, &ProbeReply{})
	if !isConnectionRefused(err) {
		t.Errorf("unexpected error, got %v instead of a refused connection", err)
	}
}
