package event

import "github.com/sirupsen/logrus"

// Codes of events of the configuration and of the list of backend servers.
const (
	RulesApplied        Code = 1101
	RulesRejected       Code = 1102
	PlatformUnreachable Code = 1103
	PlatformReachable   Code = 1104

	ServerReady        Code = 1105
	ServerLeaving      Code = 1106
	ServerRemoved      Code = 1107
	ServerEntryMissing Code = 1108
	ServerEntryInvalid Code = 1109
	RelayFailed        Code = 1110
	StoreRestored      Code = 1111
	RulesOutdated      Code = 1112
	ServerSaysLeaving  Code = 1113
	ServerBusy         Code = 1114
	ServerLimited      Code = 1115
	ServerUnlimited    Code = 1116
	KeeperUnreachable  Code = 1117
	LimitCallFailed    Code = 1118
	LimitReached       Code = 1119
	ZoneEvacuated      Code = 1120
	ZoneReturned       Code = 1121
	EvacuationHeld     Code = 1122
	ServerCold         Code = 1123
)

var configEvents = map[Code]Definition{
	RulesApplied:        {"rules-in-force", logrus.InfoLevel, "a revision of the rules was put in force"},
	RulesRejected:       {"rules-rejected", logrus.ErrorLevel, "a revision of the rules is invalid and was not put in force"},
	PlatformUnreachable: {"platform-lost", logrus.WarnLevel, "the platform does not answer"},
	PlatformReachable:   {"platform-back", logrus.InfoLevel, "the platform answers again"},

	ServerReady:        {"server-ready", logrus.InfoLevel, "a backend server became ready, or its entry changed"},
	ServerLeaving:      {"server-leaving", logrus.InfoLevel, "a backend server is leaving and gets no new work"},
	ServerRemoved:      {"server-gone", logrus.InfoLevel, "a backend server's entry was removed"},
	ServerEntryMissing: {"server-lapsed", logrus.InfoLevel, "a backend server's entry is missing after an outage of the platform; it is kept for a grace period"},
	ServerEntryInvalid: {"server-unreadable", logrus.WarnLevel, "the entry of a backend server is invalid"},
	ServerSaysLeaving:  {"server-says-leaving", logrus.InfoLevel, "a backend server's response says that it is leaving; it gets no new work from this instance"},
	ServerBusy:         {"server-busy", logrus.InfoLevel, "a backend server wants no requests from this instance for a time"},
	ServerLimited:      {"server-limited", logrus.InfoLevel, "a backend server has named the requests a second that it takes from all instances together, or another number"},
	ServerUnlimited:    {"server-unlimited", logrus.InfoLevel, "a backend server no longer names a limit of requests a second"},
	KeeperUnreachable:  {"limit-keeper-unreachable", logrus.WarnLevel, "the instance that grants the requests of a limited backend server did not answer; this one uses its own part of the limit"},
	LimitCallFailed:    {"limit-call-failed", logrus.WarnLevel, "a call to a peer on the limits of backend servers failed"},
	LimitReached:       {"limit-reached", logrus.InfoLevel, "a request was not sent to a backend server that takes no more at present"},
	ZoneEvacuated:      {"zone-evacuated", logrus.InfoLevel, "an operator has an availability zone evacuated; its servers get no new work"},
	ZoneReturned:       {"zone-returned", logrus.InfoLevel, "an operator has taken the evacuation of an availability zone back"},
	EvacuationHeld:     {"evacuation-held", logrus.WarnLevel, "the restored platform store says otherwise about an evacuation; what was known before stays in force for a minute"},
	ServerCold:         {"server-cold", logrus.InfoLevel, "a backend server is cold and takes only some requests a second from all instances together"},
	StoreRestored:      {"store-restored", logrus.WarnLevel, "the platform store was restored from an older copy"},
	RulesOutdated:      {"rules-outdated", logrus.WarnLevel, "the restored platform store has older rules than those in force, which stay in force"},
	RelayFailed:        {"relay-failed", logrus.WarnLevel, "a call to exchange the state of the platform store with a peer failed"},
}
