package event

import "github.com/sirupsen/logrus"

// Codes of events of orders to engines.
const (
	OrderLeaseTaken     Code = 1701
	OrderLeaseLost      Code = 1702
	OrderLeaseReleased  Code = 1703
	RoleChangeStarted   Code = 1704
	RoleChanged         Code = 1705
	RoleChangeCancelled Code = 1706
	OrderFailed         Code = 1707
	OrderStale          Code = 1708
	ModelLoaded         Code = 1709
)

var orderEvents = map[Code]Definition{
	OrderLeaseTaken:     {"order-lease-taken", logrus.InfoLevel, "this instance took the lease on orders to a group of pools"},
	OrderLeaseLost:      {"order-lease-lost", logrus.WarnLevel, "the lease on orders to a group of pools expired or was taken by another instance"},
	OrderLeaseReleased:  {"order-lease-released", logrus.InfoLevel, "the lease on orders to a group of pools was released"},
	RoleChangeStarted:   {"role-change-started", logrus.InfoLevel, "an engine is drained to change its role"},
	RoleChanged:         {"role-changed", logrus.InfoLevel, "an engine changed its role"},
	RoleChangeCancelled: {"role-change-cancelled", logrus.WarnLevel, "an engine did not change its role in time, or its rule changed; the change was cancelled"},
	OrderFailed:         {"order-failed", logrus.WarnLevel, "an engine did not confirm an order; it is sent again"},
	OrderStale:          {"order-stale", logrus.WarnLevel, "an engine rejected an order with an old fencing number; another instance gives the orders now"},
	ModelLoaded:         {"model-loaded", logrus.InfoLevel, "an engine loaded a version or adapter"},
}
