package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// crashRetention is how long a crash is kept and told to others. Those of a request that was in flight at
	// manyCrashes or more are kept for longRetention after the request last came.
	crashRetention = 2 * time.Minute
	longRetention  = 10 * time.Minute
	manyCrashes    = 3
	// refusalNewsInterval is how much later a request must have been refused for peers to be told again.
	refusalNewsInterval = time.Second
	// answeredRetention is how long a VM tells others of a crash that is refuted, so that all learn of it.
	answeredRetention = 10 * time.Second
	// unconfirmedRetention is how long a crash is kept that nothing has confirmed.
	unconfirmedRetention = 7 * time.Second
)

// Crash records that a leaf ended while it ran a request.
type Crash struct {
	Digest uint64
	Leaf   catalog.LeafID
	At     time.Time
	// Repeated is set if the request was a suspect already when the leaf got it.
	Repeated bool
	// Unconfirmed is set if only the end of the leaf's connections speaks for its end so far.
	Unconfirmed bool
	// Answered is set if a VM that saw the crash knew an answer to the request.
	Answered bool
	// Outlived is set if a leaf has answered the request since a VM knew of the crash.
	Outlived bool
	// Ran is for how long the request had run, or waited at the leaf, when its connection was lost: the longest time of its
	// copies there.
	Ran time.Duration
	// refutedAt is when this VM learned that the crash is refuted, or last heard from a VM that did not know. It is zero
	// for a crash that stands.
	refutedAt time.Time
	// change is the number of its latest change in the crash log, toldBy the address of the VM whose message was that
	// change; empty for any other change.
	change uint64
	toldBy string
}

// stands reports whether the crash is not refuted.
func (c *Crash) stands() bool { return c.refutedAt.IsZero() }

// suspect holds what the fleet knows of a request that was in flight at crashes.
type suspect struct {
	crashes map[catalog.LeafID]Crash
	// refusedAt is when it last came and was refused; zero for never. refusalToldAt is the one that peers are told.
	refusedAt, refusalToldAt time.Time
}

// ReportCrash reports to the fleet a crash that this VM saw.
func (m *Manager) ReportCrash(c Crash) {
	m.mu.Lock()
	s := m.suspectOf(c.Digest)
	changed, _ := s.record(c)
	if changed {
		m.noteChange(s, c.Digest, c.Leaf, "")
	}
	m.mu.Unlock()
	if changed {
		m.localEvents.Fire()
	}
}

// ReportAnswer reports to the fleet that a leaf has answered the request since its crashes that are known here.
func (m *Manager) ReportAnswer(digest uint64) {
	m.changeCrashes(digest, (*suspect).outlive)
}

// Refute reports to the fleet that the crashes of the request at the leaves do not count against it. Only those that are known
// here are refuted: dates of different VMs don't tell whether another crash came before.
func (m *Manager) Refute(digest uint64, leaves []catalog.LeafID, at time.Time) {
	m.changeCrashes(digest, func(s *suspect) []catalog.LeafID { return s.refute(leaves, at) })
}

// changeCrashes changes the crashes of the request, if any are known, and has the peers told. change returns the leaves of
// those that changed.
func (m *Manager) changeCrashes(digest uint64, change func(s *suspect) []catalog.LeafID) {
	m.mu.Lock()
	var changed []catalog.LeafID
	if s := m.suspects[digest]; s != nil {
		changed = change(s)
		for _, leaf := range changed {
			m.noteChange(s, digest, leaf, "")
		}
	}
	m.mu.Unlock()
	if len(changed) > 0 {
		m.localEvents.Fire()
	}
}

// ReportRefusal records that the request came and was refused for its crashes, so that they are kept.
func (m *Manager) ReportRefusal(digest uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.suspects[digest]; s != nil {
		m.recordRefusal(s, digest, at)
	}
}

// recordRefusal records that the request was refused. The caller must hold mu.
func (m *Manager) recordRefusal(s *suspect, digest uint64, at time.Time) {
	s.refusedAt = later(s.refusedAt, at)
	if s.refusedAt.Sub(s.refusalToldAt) < refusalNewsInterval {
		return
	}
	s.refusalToldAt = s.refusedAt
	for leaf := range s.crashes {
		m.noteChange(s, digest, leaf, "")
	}
}

// Crashes returns the leaves that have ended while the request was in flight there, since the given time, and that are
// not refuted. All of these are returned where the request was refused since the given time.
func (m *Manager) Crashes(digest uint64, since time.Time) []Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.suspects[digest]
	if s == nil {
		return nil
	}
	if s.refusedAt.After(since) {
		since = time.Time{}
	}
	return s.since(since)
}

// Suspects returns the digests of the requests that were in flight at crashes.
func (m *Manager) Suspects() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.suspects))
}

// outlive records that a leaf has answered the request, and returns the leaves of the crashes of which that is news.
func (s *suspect) outlive() (changed []catalog.LeafID) {
	for leaf, c := range s.crashes {
		if c.stands() && !c.Outlived {
			c.Outlived = true
			s.crashes[leaf] = c
			changed = append(changed, leaf)
		}
	}
	return changed
}

// refute records that the crashes at the leaves are refuted, and returns the leaves of those that stood.
func (s *suspect) refute(leaves []catalog.LeafID, at time.Time) (changed []catalog.LeafID) {
	for _, leaf := range leaves {
		if c, ok := s.crashes[leaf]; ok && c.stands() {
			c.refutedAt = at
			s.crashes[leaf] = c
			changed = append(changed, leaf)
		}
	}
	return changed
}

// since returns the crashes after the time that stand.
func (s *suspect) since(t time.Time) []Crash {
	var out []Crash
	for _, c := range s.crashes {
		if c.stands() && c.At.After(t) {
			out = append(out, c)
		}
	}
	return out
}

// suspectOf returns the entry of the request and creates it if necessary. The caller must hold mu.
func (m *Manager) suspectOf(digest uint64) *suspect {
	s := m.suspects[digest]
	if s == nil {
		s = &suspect{crashes: make(map[catalog.LeafID]Crash)}
		m.suspects[digest] = s
	}
	return s
}

// record merges a crash into what is known of the request. It reports whether that changed anything, and whether it is news:
// the crash was not known, not confirmed, not outlived, or not refuted. The result does not depend on the order in which
// crashes are recorded.
func (s *suspect) record(c Crash) (changed, news bool) {
	known, ok := s.crashes[c.Leaf]
	if !ok {
		s.crashes[c.Leaf] = c
		return true, true
	}
	merged := known
	merged.Repeated, merged.Answered, merged.Outlived = c.Repeated || known.Repeated, c.Answered || known.Answered, c.Outlived || known.Outlived
	merged.Unconfirmed = c.Unconfirmed && known.Unconfirmed
	merged.Ran = max(known.Ran, c.Ran)
	merged.refutedAt = later(known.refutedAt, c.refutedAt)
	s.crashes[c.Leaf] = merged
	news = known.Unconfirmed && !merged.Unconfirmed || known.stands() && !merged.stands() || merged.Outlived && !known.Outlived
	return merged != known, news
}

// dropCrashes drops what is older than its retention. The caller must hold mu.
func (m *Manager) dropCrashes(now time.Time) {
	for digest, s := range m.suspects {
		for leaf, c := range s.crashes {
			if now.Sub(c.At) > s.retention(&c, now) {
				delete(s.crashes, leaf)
				m.confirmed.forget(&c)
			}
		}
		if len(s.crashes) == 0 {
			delete(m.suspects, digest)
		}
	}
	m.crashLog.compact(m.suspects)
}

// retention returns how long after it happened the crash is kept, as of now.
//
// A refuted crash is kept for as long as a VM that was cut off meanwhile may tell it as one that stands.
func (s *suspect) retention(c *Crash, now time.Time) time.Duration {
	switch {
	case !c.stands() && c.Unconfirmed:
		return c.refutedAt.Sub(c.At) + answeredRetention
	case !c.stands():
		return c.refutedAt.Sub(c.At) + longRetention
	case c.Unconfirmed:
		return unconfirmedRetention
	case now.Sub(s.refusedAt) <= longRetention:
		return now.Sub(c.At)
	case len(s.crashes) >= manyCrashes:
		return longRetention
	}
	return crashRetention
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
