package event

import "github.com/sirupsen/logrus"

// Codes of allowance events.
const (
	ShardRoleChanged  Code = 1301
	ShardInstanceGone Code = 1302
	InstanceEvicted   Code = 1303
)

var allowanceEvents = map[Code]Definition{
	ShardRoleChanged:  {"keeper-changed", logrus.InfoLevel, "the instance's role in an allowance shard changed"},
	ShardInstanceGone: {"keeper-gone", logrus.WarnLevel, "an instance of an allowance shard refused the connection and counts as gone"},
	InstanceEvicted:   {"keeper-evicted", logrus.WarnLevel, "an operator declared an instance gone"},
}
