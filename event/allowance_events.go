package event

import "github.com/sirupsen/logrus"

// Codes of the allowance.
const (
	KeeperChanged Code = 1301
	KeeperGone    Code = 1302
	KeeperEvicted Code = 1303
)

var allowanceEvents = map[Code]Definition{
	KeeperChanged: {"keeper-changed", logrus.InfoLevel, "the instance's part in an allowance shard changed"},
	KeeperGone:    {"keeper-gone", logrus.WarnLevel, "the host of a keeper refused the connection: it is gone"},
	KeeperEvicted: {"keeper-evicted", logrus.WarnLevel, "an operator declared an instance gone"},
}
