package instance_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"teaselgate/order"
	"teaselgate/platform"
	"teaselgate/standin/site"
)

func TestInstanceHoldsOrderLeaseUntilItLeaves(t *testing.T) {
	s := startSite(t)
	client := platform.NewClient(s.PlatformURL(), site.Secrets.Platform)
	defer client.HTTP.CloseIdleConnections()
	readLease := func() order.LeaseRecord {
		var record order.LeaseRecord
		object, err := client.Get(t.Context(), order.LeaseKind, "chat-decode")
		if err == nil {
			err = json.Unmarshal(object.Data, &record)
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("unexpected error %v", err)
		}
		return record
	}
	poll(t, func() bool { return strings.HasPrefix(readLease().Holder, "i0-") })
	s.Instances()[0].Stop()
	if got := readLease().Holder; got != "" {
		t.Errorf("unexpected holder of the lease after the instance left: %s", got)
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}
