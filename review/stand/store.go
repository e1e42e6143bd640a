package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePageItems is the most items in a page of a range, as the pages say.
const storePageItems = 500

// storeDelay is how long the store takes to answer.
const storeDelay = 4 * time.Millisecond

// item is an item of the store, or its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store. It keeps its whole history.
type store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// watching counts the watches that wait, by the IP address of the caller; lastRead is when each one last called.
	watching map[string]int
	lastRead map[string]time.Time
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l, revision: 1, items: make(map[string]item), changed: make(chan struct{}),
		watching: make(map[string]int), lastRead: make(map[string]time.Time),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an item; the moment of its return is that of the acknowledgement.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are the scenarios' own
	}
	s.write(item{Key: key, Value: text})
}

func (s *store) remove(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// readers returns the IP addresses of the callers whose watches wait now.
func (s *store) readers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for ip, n := range s.watching {
		if n > 0 {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

func (s *store) noteRead(r *http.Request, watching int) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching[ip] += watching
	s.lastRead[ip] = time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.noteRead(r, 0)
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := make([]item, 0, len(s.items))
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(list) > storePageItems
	answer(w, map[string]any{"items": list[:min(len(list), storePageItems)], "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.noteRead(r, 1)
	defer s.noteRead(r, -1)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(storeDelay)
			answer(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			answer(w, map[string]any{"events": events, "store_revision": revision})
			return
		case <-changed:
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has left
}
