package config

import (
	"errors"
	"testing"

	"teaselgate/standin/wire"
)

func TestMalformedResponsesOfInstancesAreErrors(t *testing.T) {
	call := func(address string) error {
		collector := NewStatusCollector("token")
		if report := collector.Collect(t.Context(), []Member{{Admin: address}})[0]; report.Status == nil {
			return errors.New(report.Error)
		}
		return nil
	}
	wire.CheckCall(t, wire.MalformedHeads("", "{}"), call)
	wire.CheckUnframed(t, "", "{}", call)
}
