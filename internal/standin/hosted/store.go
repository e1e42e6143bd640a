// Package hosted holds stand-ins of the users' platform for tests: its store, which can only be read,
// and its leaves, on HTTP/1.1 with the platform's names and faults.
package hosted

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is how many items a page of a range holds, few so that tests meet several pages.
const pageItems = 20

// Store plays the platform's store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu sync.Mutex
	// What follows is guarded by mu.
	revision uint64
	items    map[string]entry
	history  []entry
	// oldest is the revision that the history reaches back to.
	oldest  uint64
	changed chan struct{}
	fault   Fault
	calls   map[string]int
	// stale holds the items and the revision that stale reads see, where set.
	stale *staleView
}

type staleView struct {
	items    map[string]entry
	revision uint64
}

// entry is an item or its deletion, as on the wire.
type entry struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Fault is how the store misbehaves.
type Fault struct {
	// Status, where not 0, is answered to every call.
	Status int
	// Silent calls get no answer.
	Silent bool
	// Delay comes before each answer.
	Delay time.Duration
	// Lose does nothing but drop the connection after the call was worked on.
	Lose bool
}

// NewStore starts a store. Close ends it.
func NewStore() *Store {
	s := &Store{revision: 1, oldest: 1, items: make(map[string]entry), changed: make(chan struct{}), calls: make(map[string]int)}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns IP:PORT of the store.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the store and its open calls.
func (s *Store) Close() {
	s.SetFault(Fault{Status: http.StatusServiceUnavailable})
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault makes the store misbehave, or behave; watches that wait are cut.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Put writes an item.
func (s *Store) Put(key, value string) uint64 {
	return s.write(entry{Key: key, Value: []byte(value)})
}

// PutJSON writes an item encoded as JSON.
func (s *Store) PutJSON(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(key, string(text))
}

// Delete removes an item.
func (s *Store) Delete(key string) uint64 { return s.write(entry{Key: key, Tombstone: true}) }

func (s *Store) write(e entry) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision = s.revision
	if e.Tombstone {
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.history = append(s.history, e)
	s.wake()
	return s.revision
}

// wake lets watches look again. Requires mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// FreezeStale makes stale reads go on seeing the present state.
func (s *Store) FreezeStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]entry, len(s.items))
	for k, e := range s.items {
		seen[k] = e
	}
	s.stale = &staleView{items: seen, revision: s.revision}
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.fault
	s.mu.Unlock()
	time.Sleep(f.Delay)
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	case f.Lose:
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"), q.Get("stale_ok") == "1")
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string, stale bool) {
	s.mu.Lock()
	items, revision := s.items, s.revision
	if stale && s.stale != nil {
		items, revision = s.stale.items, s.stale.revision
	}
	list := make([]entry, 0, len(items))
	for k, e := range items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b entry) int { return cmp.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	write(w, map[string]any{"items": list[:min(pageItems, len(list))], "has_more": more, "store_revision": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		events, gone := s.since(prefix, after)
		revision, changed, f := s.revision, s.changed, s.fault
		s.mu.Unlock()
		switch {
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		case f.Silent || f.Lose:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			write(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			write(w, map[string]any{"events": []entry{}, "store_revision": revision})
			return
		case <-changed:
		}
	}
}

// since returns the events after the revision, or that they are forgotten. Requires mu.
func (s *Store) since(prefix string, after uint64) (events []entry, gone bool) {
	if after < s.oldest {
		return nil, true
	}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, false
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
