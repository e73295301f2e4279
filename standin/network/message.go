package network

import (
	"bytes"
	"encoding/gob"
)

// MessageBytes returns the size of a message on a connection that has carried its type before.
func MessageBytes(message any) (int, error) {
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	for range 2 {
		out.Reset()
		if err := e.Encode(message); err != nil {
			return 0, err
		}
	}
	return out.Len(), nil
}
