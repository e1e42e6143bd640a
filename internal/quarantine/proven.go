package quarantine

import (
	"container/list"
	"time"
)

// proven is a bounded set of requests that a leaf has answered, by their Proof; the longest unused
// is dropped first. It is not safe for concurrent use.
type proven struct {
	limit int
	// order holds proofs, the latest used in front; elements finds them.
	order    *list.List
	elements map[uint64]*list.Element
}

// proof is one request that a leaf answered at a time.
type proof struct {
	id uint64
	at time.Time
}

func newProven(limit int) *proven {
	return &proven{limit: limit, order: list.New(), elements: make(map[uint64]*list.Element)}
}

// since returns when the request was last answered, and whether it ever was.
func (p *proven) since(id uint64) (time.Time, bool) {
	e, ok := p.elements[id]
	if !ok {
		return time.Time{}, false
	}
	p.order.MoveToFront(e)
	return e.Value.(*proof).at, true
}

func (p *proven) add(id uint64, now time.Time) {
	if e, ok := p.elements[id]; ok {
		e.Value.(*proof).at = now
		p.order.MoveToFront(e)
		return
	}
	p.elements[id] = p.order.PushFront(&proof{id: id, at: now})
	if p.order.Len() > p.limit {
		p.forget(p.order.Back().Value.(*proof).id)
	}
}

func (p *proven) forget(id uint64) {
	if e, ok := p.elements[id]; ok {
		p.order.Remove(e)
		delete(p.elements, id)
	}
}

func (p *proven) len() int { return p.order.Len() }
