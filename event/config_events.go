package event

import "github.com/sirupsen/logrus"

// Codes of the configuration.
const (
	RulesInForce  Code = 1101
	RulesRejected Code = 1102
	PlatformLost  Code = 1103
	PlatformBack  Code = 1104
)

var configEvents = map[Code]Definition{
	RulesInForce:  {"rules-in-force", logrus.InfoLevel, "a revision of the rules is in force"},
	RulesRejected: {"rules-rejected", logrus.ErrorLevel, "a revision of the rules was not put in force"},
	PlatformLost:  {"platform-lost", logrus.WarnLevel, "the platform does not answer"},
	PlatformBack:  {"platform-back", logrus.InfoLevel, "the platform answers again"},
}
