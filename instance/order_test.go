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

func TestOneInstanceHoldsTheOrdersAndReleasesThem(t *testing.T) {
	s := startSite(t)
	client := platform.NewClient(s.PlatformURL(), site.Secrets.Platform)
	defer client.HTTP.CloseIdleConnections()
	read := func() order.LeaseRecord {
		var record order.LeaseRecord
		o, err := client.Get(t.Context(), order.LeaseKind, "chat-decode")
		if err == nil {
			err = json.Unmarshal(o.Data, &record)
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("unexpected error %v", err)
		}
		return record
	}
	poll(t, func() bool { return strings.HasPrefix(read().Holder, "i0-") })
	s.Instances()[0].Stop()
	if got := read().Holder; got != "" {
		t.Errorf("unexpected holder after the instance left: %s", got)
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}
