package quarantine

import (
	"container/list"
	"time"
)

// answeredSet is a bounded LRU set of requests that a leaf has answered, keyed by FullDigest or Digest.
// The least recently used entry is evicted first. It is not safe for concurrent use.
type answeredSet struct {
	maxEntries int
	// recency holds *answerRecord values, the most recently used first. elements indexes them by ID.
	recency  *list.List
	elements map[uint64]*list.Element
}

// answerRecord is one request that a leaf has answered.
type answerRecord struct {
	id uint64
	// answeredAt is when the request was last answered.
	answeredAt time.Time
	// connectionLost is true if a connection was lost with the request in flight since that answer.
	connectionLost bool
}

func newAnsweredSet(limit int) *answeredSet {
	return &answeredSet{maxEntries: limit, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// get returns the record of a request, or nil if no answer to it is remembered. It counts as a use.
func (s *answeredSet) get(id uint64) *answerRecord {
	e, ok := s.elements[id]
	if !ok {
		return nil
	}
	s.recency.MoveToFront(e)
	return e.Value.(*answerRecord)
}

// contains reports whether an answer to the request is remembered. It does not count as a use.
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

// markConnectionLost records that a connection was lost with the request in flight. It does nothing if
// no answer to the request is remembered.
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
