package event

import "github.com/sirupsen/logrus"

// Codes of the membership.
const (
	MemberChanged Code = 1501
)

var fleetEvents = map[Code]Definition{
	MemberChanged: {"member-changed", logrus.InfoLevel, "the state of another instance changed"},
}
