package event

import "github.com/sirupsen/logrus"

// Codes of the membership.
const (
	MemberChanged   Code = 1501
	EntryRemoved    Code = 1502
	EntryNotRemoved Code = 1503
)

var fleetEvents = map[Code]Definition{
	MemberChanged:   {"member-changed", logrus.InfoLevel, "the state of another instance changed"},
	EntryRemoved:    {"entry-removed", logrus.InfoLevel, "the entry of an instance that is gone was removed from the platform's list"},
	EntryNotRemoved: {"entry-not-removed", logrus.WarnLevel, "the entry of an instance that is gone could not be removed"},
}
