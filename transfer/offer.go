package transfer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// replyBytes is the size of the parts in a reply: a small call behind it on a link waits for no more than that. A single part
// may be as large.
const replyBytes = maxPart

// Args asks an instance for parts of a document.
type Args struct {
	Address string // peer address of the caller
	Sum     Sum    // the document
	Wanted  []byte // a bit for each part of its outline, set for those that the caller lacks
}

// Reply carries parts of a document.
type Reply struct {
	Result Result
	Parts  [][]byte
	Others []string // addresses of instances that get parts of a document from the replier
}

// holder is a document of which an instance has parts: a Document or an Assembly.
type holder interface {
	Outline() Outline
	Part(id PartID) []byte
}

// Offer gives parts of documents to other instances: of the newest that this instance has, and of the one that it is
// fetching. It is safe for concurrent use. Its exported fields are set before use.
type Offer struct {
	Now    func() time.Time
	Random func(n int) int // returns a random number below n

	mu       sync.Mutex
	whole    *Document
	fetching *Assembly
	uploads  Uploads
	givenOf  Sum   // document of given
	given    []int // how often each part of a document was given
}

// NewOffer returns an offer without documents.
func NewOffer() *Offer { return &Offer{Now: time.Now, Random: rand.IntN} }

// Give replies to a request for parts.
func (o *Offer) Give(args Args) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.find(args.Sum)
	if h == nil {
		return Reply{Result: Unknown}
	}
	if !o.uploads.Start(args.Address, o.Now()) {
		return Reply{Result: Busy, Others: o.uploads.Receivers(args.Address)}
	}
	reply := Reply{Result: Empty, Parts: o.choose(h, args.Wanted)}
	if len(reply.Parts) > 0 {
		reply.Result = Delivered
	}
	return reply
}

// find returns the document with a sum, or nil. The caller holds the lock.
func (o *Offer) find(sum Sum) holder {
	if o.whole != nil && o.whole.outline.Sum == sum {
		return o.whole
	}
	if o.fetching != nil && o.fetching.outline.Sum == sum {
		return o.fetching
	}
	return nil
}

// choose returns wanted parts of a document, first those that were given least often. So instances which ask at once get different
// ones and can give them to each other. The caller holds the lock.
func (o *Offer) choose(h holder, wanted []byte) [][]byte {
	outline := h.Outline()
	if o.givenOf != outline.Sum {
		o.givenOf, o.given = outline.Sum, make([]int, outline.Len())
	}
	var places []int
	start := o.Random(outline.Len())
	for n := range outline.Len() {
		at := (start + n) % outline.Len()
		if at/8 < len(wanted) && wanted[at/8]&(1<<(at%8)) != 0 && h.Part(outline.ID(at)) != nil {
			places = append(places, at)
		}
	}
	slices.SortStableFunc(places, func(a, b int) int { return cmp.Compare(o.given[a], o.given[b]) })
	var out [][]byte
	size := 0
	for _, at := range places {
		part := h.Part(outline.ID(at))
		if size+len(part) > replyBytes {
			break
		}
		o.given[at]++
		out, size = append(out, part), size+len(part)
	}
	return out
}

// Whole returns the newest document that this instance has, or nil.
func (o *Offer) Whole() *Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.whole
}

// SetWhole sets the newest document. A fetch of it is over.
func (o *Offer) SetWhole(d *Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.whole = d
	if o.fetching != nil && o.fetching.outline.Sum == d.outline.Sum {
		o.fetching = nil
	}
}

// Missing returns the number of missing parts of the document that is being fetched, or 0 if it is another one.
func (o *Offer) Missing(sum Sum) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fetching == nil || o.fetching.outline.Sum != sum {
		return 0
	}
	return len(o.fetching.missing)
}

// begin begins the fetch of a document, with the parts of those that this instance knows. It replaces another fetch.
func (o *Offer) begin(outline Outline) (*Assembly, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, err := NewAssembly(outline, o.known)
	if err != nil {
		return nil, err
	}
	o.fetching = a
	return a, nil
}

// wanted returns the parts that a worker is to ask for, and false if none are missing.
func (o *Offer) wanted(a *Assembly, worker, workers int) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(a.missing) == 0 {
		return nil, false
	}
	return a.Wanted(worker, workers), true
}

// add adds parts of a document, and returns the number of bytes that were missing, and whether all parts were wanted or are
// there already.
func (o *Offer) add(a *Assembly, parts [][]byte) (bytes int, valid bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	valid = true
	for _, part := range parts {
		if a.Add(part) {
			bytes += len(part)
			continue
		}
		valid = valid && a.parts[idOf(part)] != nil
	}
	return bytes, valid
}

// known returns a part that this instance has, or nil. The caller holds the lock.
func (o *Offer) known(id PartID) []byte {
	if o.fetching != nil {
		if part := o.fetching.Part(id); part != nil {
			return part
		}
	}
	if o.whole != nil {
		return o.whole.Part(id)
	}
	return nil
}
