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

// Restore brings the store back from the copy: it loses what was written since, counts on from the copy's revision,
// and its era rises by one. A watch that is waiting is answered by the restored state.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.oldest = min(s.oldest, s.revision)
	s.era++
	s.wake()
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
