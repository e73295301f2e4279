package transfer

import "crypto/sha256"

// Assembly is a document of which some parts are missing.
type Assembly struct {
	outline Outline
	parts   map[PartID][]byte // those that are there
	missing map[PartID][]int  // places of the others in the outline
	lacks   []bool            // whether the part at a place is missing
}

// NewAssembly returns a document with the parts that known returns; it returns nil for others. It fails with ErrMalformed if
// the outline is not that of a document.
func NewAssembly(o Outline, known func(PartID) []byte) (*Assembly, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	a := &Assembly{outline: o, parts: make(map[PartID][]byte), missing: make(map[PartID][]int), lacks: make([]bool, o.Len())}
	for n := range o.Len() {
		id := o.ID(n)
		if part := known(id); part != nil {
			a.parts[id] = part
			continue
		}
		a.missing[id], a.lacks[n] = append(a.missing[id], n), true
	}
	return a, nil
}

// Outline returns the outline of the document.
func (a *Assembly) Outline() Outline { return a.outline }

// Part returns a part that is there, or nil.
func (a *Assembly) Part(id PartID) []byte { return a.parts[id] }

// Add takes a missing part, and reports whether it is one.
func (a *Assembly) Add(part []byte) bool {
	id := idOf(part)
	if a.missing[id] == nil {
		return false
	}
	for _, n := range a.missing[id] {
		a.lacks[n] = false
	}
	delete(a.missing, id)
	a.parts[id] = part
	return true
}

// Wanted returns a bit for each part of the outline, which is set for missing parts. Of several workers each gets other parts
// as long as there are enough.
func (a *Assembly) Wanted(worker, workers int) []byte {
	out, all := make([]byte, (a.outline.Len()+7)/8), make([]byte, (a.outline.Len()+7)/8)
	own := false
	for n, lacks := range a.lacks {
		if !lacks {
			continue
		}
		all[n/8] |= 1 << (n % 8)
		if n%workers == worker {
			out[n/8] |= 1 << (n % 8)
			own = true
		}
	}
	if !own {
		return all
	}
	return out
}

// Document returns the document once no part is missing. It fails with ErrDamaged if the parts don't make the document that
// the outline names.
func (a *Assembly) Document() (*Document, []byte, error) {
	data := make([]byte, 0, a.outline.Size)
	for n := range a.outline.Len() {
		data = append(data, a.parts[a.outline.ID(n)]...)
	}
	if len(data) != a.outline.Size || sha256.Sum256(data) != a.outline.Sum {
		return nil, nil, damaged.New("transfer: the parts make %d bytes instead of %d, or others", len(data), a.outline.Size)
	}
	return NewDocument(data), data, nil
}
