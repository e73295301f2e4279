package event

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Code identifies a kind of event. Codes are never reused.
type Code int

// codesPerCategory is the size of each category's range of codes.
const codesPerCategory = 100

// Category returns the category of a kind of event, 10 to 17: the code without its last two digits.
func (c Code) Category() int { return int(c) / codesPerCategory }

// Definition describes a kind of event.
type Definition struct {
	Name    string
	Level   logrus.Level
	Message string // message of the log line
}

// Catalogue holds the definition of every kind of event.
var Catalogue = mergeDefinitions(
	instanceEvents,
	configEvents,
	requestEvents,
	allowanceEvents,
	cellEvents,
	fleetEvents,
	outcomeEvents,
	orderEvents,
)

func mergeDefinitions(groups ...map[Code]Definition) map[Code]Definition {
	all := make(map[Code]Definition)
	for _, group := range groups {
		for code, definition := range group {
			if _, exists := all[code]; exists {
				panic(fmt.Sprintf("event: code %d is defined twice", code))
			}
			all[code] = definition
		}
	}
	return all
}
