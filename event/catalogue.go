package event

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// Code is the number of a kind of event; numbers are never reused.
type Code int

// Definition describes a kind of event.
type Definition struct {
	Name  string
	Level logrus.Level
	Text  string
}

// Catalogue lists every kind of event.
var Catalogue = join(instanceEvents, configEvents, requestEvents, fleetEvents, cellEvents)

func join(groups ...map[Code]Definition) map[Code]Definition {
	all := make(map[Code]Definition)
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}
