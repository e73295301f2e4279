package event

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Code is the number of a kind of event; numbers are never reused.
type Code int

// codesPerDuty is the size of each duty's range of numbers.
const codesPerDuty = 100

// Category returns the number of the duty to which a kind of event belongs, 10 to 17.
func (c Code) Category() int { return int(c) / codesPerDuty }

// Definition describes a kind of event.
type Definition struct {
	Name  string
	Level logrus.Level
	Message  string
}

// Catalogue lists every kind of event.
var Catalogue = join(
	instanceEvents,
	configEvents,
	requestEvents,
	allowanceEvents,
	cellEvents,
	fleetEvents,
	outcomeEvents,
	orderEvents,
)

func join(groups ...map[Code]Definition) map[Code]Definition {
	all := make(map[Code]Definition)
	for _, group := range groups {
		for code, definition := range group {
			if _, taken := all[code]; taken {
				panic(fmt.Sprintf("event: number %d is given twice", code))
			}
			all[code] = definition
		}
	}
	return all
}
