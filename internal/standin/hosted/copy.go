package hosted

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEra names the store's era in each answer.
const headerEra = "Store-Era"

// Copy is the state of a store at one moment.
type Copy struct {
	items    map[string]entry
	history  []entry
	revision uint64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// Lost is what a store lost when it came back from a copy: the values at that moment of the keys that had changed since,
// nil for those that had been removed.
type Lost struct {
	values map[string][]byte
	// base is the revision from which the store counts on.
	base uint64
}

// Restore brings the store back from the copy: it loses what was written since, counts on from the copy's revision,
// and its era rises by one. A watch that is waiting is answered by the restored state.
func (s *Store) Restore(c Copy) Lost {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := Lost{values: make(map[string][]byte), base: c.revision}
	for key, e := range s.items {
		if e.Revision != c.items[key].Revision {
			lost.values[key] = e.Value
		}
	}
	for key := range c.items {
		if _, ok := s.items[key]; !ok {
			lost.values[key] = nil
		}
	}
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.oldest = min(s.oldest, s.revision)
	s.era++
	s.wake()
	return lost
}

// WriteAgain writes what was lost and not written since, and removes what had been removed and nobody writes.
func (s *Store) WriteAgain(lost Lost) {
	for _, key := range slices.Sorted(maps.Keys(lost.values)) {
		s.mu.Lock()
		item, exists := s.items[key]
		s.mu.Unlock()
		value := lost.values[key]
		switch {
		case item.Revision > lost.base, value == nil && !exists:
		case value == nil:
			s.Delete(key)
		default:
			s.Put(key, string(value))
		}
	}
}

// SetEraHeader makes the store send the text as its era from now on, or no era at all if the text is empty.
func (s *Store) SetEraHeader(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHeader = &text
}

// setEra sets the header of an answer that names the era. The caller holds mu.
func (s *Store) setEra(w http.ResponseWriter) {
	text := strconv.FormatUint(s.era, 10)
	if s.eraHeader != nil {
		text = *s.eraHeader
	}
	w.Header().Del(headerEra)
	if text != "" {
		w.Header().Set(headerEra, text)
	}
}
