package event

import "github.com/sirupsen/logrus"

// Codes of placement events.
const (
	CellTakenOver         Code = 1401
	DispatcherUnreachable Code = 1402
	PollFailed            Code = 1403
	DebitFailed           Code = 1404
	SlotKeeperUnreachable Code = 1405
)

var cellEvents = map[Code]Definition{
	CellTakenOver:         {"cell-taken", logrus.InfoLevel, "this instance became the dispatcher of a cell"},
	DispatcherUnreachable: {"dispatcher-silent", logrus.WarnLevel, "a cell's dispatcher did not answer a call"},
	PollFailed:            {"poll-failed", logrus.WarnLevel, "a backend server did not answer a poll; it gets no new work for a while"},
	SlotKeeperUnreachable: {"slot-keeper-silent", logrus.WarnLevel, "the instance that gives out the slots of a plain service did not answer; this one picks servers by what it knows"},
	DebitFailed:           {"debit-failed", logrus.WarnLevel, "the tokens charged for plain requests could not be reported to the dispatcher"},
}
