package event

import "github.com/sirupsen/logrus"

// Codes of the membership.
const (
	MemberStateChanged   Code = 1501
	InstanceEntryRemoved    Code = 1502
	InstanceEntryRemovalFailed Code = 1503
)

var fleetEvents = map[Code]Definition{
	MemberStateChanged:   {"member-changed", logrus.InfoLevel, "the state of another instance changed"},
	InstanceEntryRemoved:    {"entry-removed", logrus.InfoLevel, "the entry of an instance that is gone was removed from the platform's list"},
	InstanceEntryRemovalFailed: {"entry-not-removed", logrus.WarnLevel, "the entry of an instance that is gone could not be removed"},
}
