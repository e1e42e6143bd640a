package quarantine

import (
	"container/list"
	"time"
)

// answeredSet is a bounded set of requests that a leaf has answered, by their Proof or Digest; the longest
// unused is dropped first. It is not safe for concurrent use.
type answeredSet struct {
	maxEntries int
	// recency holds proofs, the latest used in front; elements finds them.
	recency  *list.List
	elements map[uint64]*list.Element
}

// answerRecord is one request that a leaf answered.
type answerRecord struct {
	id uint64
	// answeredAt is when it was answered last.
	answeredAt time.Time
	// connectionLost is true where a connection was lost with it since.
	connectionLost bool
}

func newAnsweredSet(limit int) *answeredSet {
	return &answeredSet{maxEntries: limit, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// get returns the proof of a request, nil where no answer to it is remembered.
func (s *answeredSet) get(id uint64) *answerRecord {
	e, ok := s.elements[id]
	if !ok {
		return nil
	}
	s.recency.MoveToFront(e)
	return e.Value.(*answerRecord)
}

// contains tells whether an answer to the request is remembered, without counting as a use.
func (s *answeredSet) contains(id uint64) bool { return s.elements[id] != nil }

func (s *answeredSet) add(id uint64, now time.Time) {
	if e, ok := s.elements[id]; ok {
		*e.Value.(*answerRecord) = answerRecord{id: id, answeredAt: now}
		s.recency.MoveToFront(e)
		return
	}
	s.elements[id] = s.recency.PushFront(&answerRecord{id: id, answeredAt: now})
	if s.recency.Len() > s.maxEntries {
		s.remove(s.recency.Back().Value.(*answerRecord).id)
	}
}

// markConnectionLost notes that a connection was lost with the request.
func (s *answeredSet) markConnectionLost(id uint64) {
	if e, ok := s.elements[id]; ok {
		e.Value.(*answerRecord).connectionLost = true
	}
}

func (s *answeredSet) remove(id uint64) {
	if e, ok := s.elements[id]; ok {
		s.recency.Remove(e)
		delete(s.elements, id)
	}
}

func (s *answeredSet) len() int { return s.recency.Len() }
