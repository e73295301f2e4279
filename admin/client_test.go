package admin

import (
	"testing"

	"teaselgate/standin/wire"
)

func TestMalformedResponsesOfInstancesAreErrors(t *testing.T) {
	call := func(address string) error {
		client, err := NewClient("token", "")
		if err != nil {
			return err
		}
		var out struct{}
		return client.Get(t.Context(), address, "/status", &out)
	}
	wire.CheckCall(t, wire.MalformedHeads("", "{}"), call)
	wire.CheckUnframed(t, "", "{}", call)
}
