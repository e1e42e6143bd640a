package platform

import (
	"strings"
	"sync"
	"time"
)

const (
	// bundlePrefix is the prefix of the keys that a stale revision applies to.
	bundlePrefix = "bundle/"
	// maxVersions is the number of versions kept of each key and of the list.
	maxVersions = 256
)

// Value is the value of a key as served. Revision is 0 and Found is false for an unknown key.
type Value struct {
	Data     []byte
	Revision uint64
	Found    bool
}

// store holds the keys and the list with their history, so that old values can be served. A single
// revision counts the changes of all keys and of the list.
type store struct {
	now func() time.Time

	mu sync.Mutex
	// The fields below are guarded by mu. Histories are oldest first; change is closed and replaced
	// at each change of data or faults.
	revision      uint64
	keys          map[string][]keyVersion
	lists         []listVersion
	staleRevision uint64
	listLag       time.Duration
	change        chan struct{}
}

type keyVersion struct {
	data     []byte
	revision uint64
}

type listVersion struct {
	list List
	at   time.Time
}

func newStore(now func() time.Time) *store {
	return &store{now: now, keys: make(map[string][]keyVersion), change: make(chan struct{})}
}

// put sets a key and returns its revision.
func (s *store) put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = keepNewest(append(s.keys[key], keyVersion{data: data, revision: s.revision}))
	s.wake()
	return s.revision
}

// putList sets the list and returns its revision.
func (s *store) putList(l List) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l.Revision = s.revision
	if l.VMs == nil {
		l.VMs = []VM{}
	}
	if l.Leaves == nil {
		l.Leaves = []Leaf{}
	}
	s.lists = keepNewest(append(s.lists, listVersion{list: l, at: s.now()}))
	s.wake()
	return s.revision
}

// keepNewest drops the oldest versions beyond maxHistory.
func keepNewest[V any](versions []V) []V {
	return versions[max(0, len(versions)-maxVersions):]
}

// setFaults selects the versions that are served: bundle keys as of staleRevision (0 is the newest),
// the list as of listLag ago.
func (s *store) setFaults(staleRevision uint64, listLag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleRevision, s.listLag = staleRevision, listLag
	s.wake()
}

// wake makes waiting watches look again. The caller holds s.mu.
func (s *store) wake() {
	close(s.change)
	s.change = make(chan struct{})
}

// key returns the value served for a key now and a channel that is closed at the next change.
func (s *store) key(key string) (Value, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.keys[key]
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		if s.isStale(key, v.revision) {
			continue
		}
		return Value{Data: v.data, Revision: v.revision, Found: true}, s.change
	}
	return Value{}, s.change
}

// isStale reports whether a fault hides this version of the key. The caller holds s.mu.
func (s *store) isStale(key string, revision uint64) bool {
	return s.staleRevision > 0 && revision > s.staleRevision && strings.HasPrefix(key, bundlePrefix)
}

// list returns the list served now, a channel that is closed at the next change, and the time until a
// newer list is past its lag; 0 if there is none. The oldest kept list does not lag.
func (s *store) list() (l List, change <-chan struct{}, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for i := len(s.lists) - 1; i >= 0; i-- {
		v := s.lists[i]
		wait := v.at.Add(s.listLag).Sub(now)
		if i == 0 || wait <= 0 {
			return v.list, s.change, next
		}
		next = wait
	}
	return List{VMs: []VM{}, Leaves: []Leaf{}}, s.change, 0
}
