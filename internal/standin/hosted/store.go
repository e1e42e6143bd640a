// Package hosted provides stand-ins for the users' platform in tests: its store, which is read-only
// over the network, and its leaves. They speak HTTP/1.1 with the platform's names and can inject faults.
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

// maxPageItems is the most items in one page of a range. It is small so that tests cover several pages.
const maxPageItems = 20

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu sync.Mutex
	// The fields below are guarded by mu.
	revision uint64
	items    map[string]entry
	history  []entry
	// oldest is the revision that the history reaches back to; watches after an older one get 410.
	oldest uint64
	// changed is closed and replaced at each change of items or faults.
	changed chan struct{}
	fault   Fault
	calls   map[string]int
	// stale is the state that reads with stale_ok see; nil is the present state.
	stale *staleView
	// era rises by one each time the store comes back from a copy. eraHeader, if not nil, replaces it in answers.
	era       uint64
	eraHeader *string
}

// staleView is the state of the store at a past revision.
type staleView struct {
	items    map[string]entry
	revision uint64
}

// entry is an item or its deletion in the wire format.
type entry struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Fault is an injected fault of the store. The zero value is none.
type Fault struct {
	// Status, if not 0, is the status code of the answer to every call.
	Status int
	// Silent leaves calls without an answer.
	Silent bool
	// Delay is the time before each answer.
	Delay time.Duration
	// DropConnection closes the connection without an answer once the call was received.
	DropConnection bool
}

// NewStore starts a store. The caller must Close it.
func NewStore() *Store {
	s := &Store{revision: 1, oldest: 1, era: 1, items: make(map[string]entry), changed: make(chan struct{}), calls: make(map[string]int)}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the IP:PORT of the store.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close closes the store and ends its open calls.
func (s *Store) Close() {
	s.SetFault(Fault{Status: http.StatusServiceUnavailable})
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault replaces the fault. A fault with Status answers the waiting watches; Silent and
// DropConnection cut their connections.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Put writes an item and returns its revision.
func (s *Store) Put(key, value string) uint64 {
	return s.write(entry{Key: key, Value: []byte(value)})
}

// PutJSON writes an item encoded as JSON and returns its revision. It panics if value can't be encoded.
func (s *Store) PutJSON(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(key, string(text))
}

// Delete removes an item and returns the revision of its deletion.
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

// wake makes waiting watches check the state again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history, so that watches after an older revision get 410 (history gone).
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// FreezeStale makes reads with stale_ok return the present state from now on, whatever changes later.
func (s *Store) FreezeStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]entry, len(s.items))
	for k, e := range s.items {
		seen[k] = e
	}
	s.stale = &staleView{items: seen, revision: s.revision}
}

// Calls returns the number of calls to a path so far.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.fault
	s.setEra(w)
	s.mu.Unlock()
	time.Sleep(f.Delay)
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	case f.DropConnection:
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
	s.setEra(w)
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
	more := len(list) > maxPageItems
	write(w, map[string]any{"items": list[:min(maxPageItems, len(list))], "has_more": more, "store_revision": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		s.setEra(w)
		events, gone := s.since(prefix, after)
		revision, changed, f := s.revision, s.changed, s.fault
		s.mu.Unlock()
		switch {
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		case f.Silent || f.DropConnection:
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

// since returns the events after the revision. gone is true if the history no longer reaches back that
// far, or the store has not counted so far. The caller holds mu.
func (s *Store) since(prefix string, after uint64) (events []entry, gone bool) {
	if after < s.oldest || after > s.revision {
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
