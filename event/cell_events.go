package event

import "github.com/sirupsen/logrus"

// Codes of the placing of work.
const (
	CellTakenOver        Code = 1401
	DispatcherUnreachable Code = 1402
	PollFailed       Code = 1403
	DebitFailed      Code = 1404
)

var cellEvents = map[Code]Definition{
	CellTakenOver:        {"cell-taken", logrus.InfoLevel, "this instance is the dispatcher of a cell"},
	DispatcherUnreachable: {"dispatcher-silent", logrus.WarnLevel, "a cell's dispatcher does not answer; the next one is asked"},
	PollFailed:       {"poll-failed", logrus.WarnLevel, "a backend server did not answer a poll; it gets no new work for a while"},
	DebitFailed:      {"debit-failed", logrus.WarnLevel, "tokens of plain requests could not be reported to the dispatcher"},
}
