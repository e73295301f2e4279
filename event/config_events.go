package event

import "github.com/sirupsen/logrus"

// Codes of the configuration.
const (
	RulesApplied  Code = 1101
	RulesRejected Code = 1102
	PlatformUnreachable  Code = 1103
	PlatformReachable  Code = 1104

	ServerReady      Code = 1105
	ServerLeaving    Code = 1106
	ServerRemoved       Code = 1107
	ServerEntryMissing     Code = 1108
	ServerEntryInvalid Code = 1109
	RelayFailed      Code = 1110
)

var configEvents = map[Code]Definition{
	RulesApplied:  {"rules-in-force", logrus.InfoLevel, "a revision of the rules is in force"},
	RulesRejected: {"rules-rejected", logrus.ErrorLevel, "a revision of the rules was not put in force"},
	PlatformUnreachable:  {"platform-lost", logrus.WarnLevel, "the platform does not answer"},
	PlatformReachable:  {"platform-back", logrus.InfoLevel, "the platform answers again"},

	ServerReady:      {"server-ready", logrus.InfoLevel, "a backend server takes work"},
	ServerLeaving:    {"server-leaving", logrus.InfoLevel, "a backend server is leaving and gets no new work"},
	ServerRemoved:       {"server-gone", logrus.InfoLevel, "a backend server's entry was removed"},
	ServerEntryMissing:     {"server-lapsed", logrus.InfoLevel, "a backend server's entry is missing after an outage of the platform; it is kept for a moment"},
	ServerEntryInvalid: {"server-unreadable", logrus.WarnLevel, "an entry names no usable backend server"},
	RelayFailed:      {"relay-failed", logrus.WarnLevel, "a peer did not tell what it knows of the platform's store"},
}
