// Package transfer moves documents between instances in parts that are named after their content. Who has a part of one
// version of a document has it of every other version that shares it, and each part may come from another instance.
package transfer

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/joomcode/errorx"
)

// Sizes of parts and documents, in bytes.
const (
	minPart     = 1 << 10
	maxPart     = 8 << 10
	meanBits    = 12      // a part ends after 1<<meanBits bytes more than the minimum in the mean
	maxDocument = 8 << 20 // limit of the size that an outline may state
)

var (
	namespace = errorx.NewNamespace("transfer")
	malformed = namespace.NewType("malformed")
	damaged   = namespace.NewType("damaged")
	stalled   = namespace.NewType("stalled")

	// ErrMalformed means that an outline is not that of any document.
	ErrMalformed = malformed.NewWithNoMessage()
	// ErrDamaged means that the parts of a document don't make the document that its outline names.
	ErrDamaged = damaged.NewWithNoMessage()
	// ErrStalled means that no instance had missing parts of a document for stallLimit.
	ErrStalled = stalled.NewWithNoMessage()
)

// PartID names a part after its content.
type PartID uint64

// idBytes is the size of an encoded PartID.
const idBytes = 8

// Sum identifies a whole document.
type Sum [sha256.Size]byte

// Outline describes a document by its parts. It is sent between instances.
type Outline struct {
	Size int
	Sum  Sum
	IDs  []byte // the ids of the parts in order, big endian
}

// Len returns the number of parts.
func (o Outline) Len() int { return len(o.IDs) / idBytes }

// ID returns the id of a part.
func (o Outline) ID(n int) PartID { return PartID(binary.BigEndian.Uint64(o.IDs[n*idBytes:])) }

// Check returns ErrMalformed if no document has the outline.
func (o Outline) Check() error {
	switch {
	case o.Size <= 0 || o.Size > maxDocument:
		return malformed.New("transfer: a document of %d bytes, the limit is %d", o.Size, maxDocument)
	case len(o.IDs)%idBytes != 0 || o.Len() == 0 || o.Len() > o.Size/minPart+1:
		return malformed.New("transfer: %d bytes of ids for a document of %d bytes", len(o.IDs), o.Size)
	}
	return nil
}

// Document is a document with its parts.
type Document struct {
	outline Outline
	parts   map[PartID][]byte
}

// NewDocument splits data into parts. The document shares memory with data.
func NewDocument(data []byte) *Document {
	d := &Document{
		outline: Outline{Size: len(data), Sum: sha256.Sum256(data)}, parts: make(map[PartID][]byte),
	}
	for len(data) > 0 {
		part := data[:cut(data)]
		id := idOf(part)
		d.parts[id] = part
		d.outline.IDs = binary.BigEndian.AppendUint64(d.outline.IDs, uint64(id))
		data = data[len(part):]
	}
	return d
}

// Outline returns the outline of the document.
func (d *Document) Outline() Outline { return d.outline }

// Part returns a part of the document, or nil.
func (d *Document) Part(id PartID) []byte { return d.parts[id] }

func idOf(part []byte) PartID {
	sum := sha256.Sum256(part)
	return PartID(binary.BigEndian.Uint64(sum[:]))
}

// cut returns the length of the first part of data. Its end depends on the last bytes before it alone, so that a change
// moves only the ends near it.
func cut(data []byte) int {
	end := min(len(data), maxPart)
	var hash uint64
	for n := minPart; n < end; n++ {
		hash = hash<<1 + gear[data[n]]
		if hash>>(64-meanBits) == 0 {
			return n + 1
		}
	}
	return end
}

// gear has a random number for each byte, the same at all instances.
var gear = newGear()

func newGear() (out [256]uint64) {
	for n := range out {
		out[n] = uint64(idOf([]byte{byte(n)}))
	}
	return out
}
