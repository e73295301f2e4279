package event

import "github.com/sirupsen/logrus"

// Codes of the allowance.
const (
	ShardRoleChanged Code = 1301
	ShardInstanceGone    Code = 1302
	InstanceEvicted Code = 1303
)

var allowanceEvents = map[Code]Definition{
	ShardRoleChanged: {"keeper-changed", logrus.InfoLevel, "the instance's part in an allowance shard changed"},
	ShardInstanceGone:    {"keeper-gone", logrus.WarnLevel, "the host of a keeper refused the connection: it is gone"},
	InstanceEvicted: {"keeper-evicted", logrus.WarnLevel, "an operator declared an instance gone"},
}
