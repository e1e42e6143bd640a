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
	// maxCrashesPerExchange bounds the crashes of requests in flight at one crash only that an exchange names, some 40
	// bytes each.
	maxCrashesPerExchange = 100
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
}

// stands reports whether the crash is not refuted.
func (c *Crash) stands() bool { return c.refutedAt.IsZero() }

// suspect holds what the fleet knows of a request that was in flight at crashes.
type suspect struct {
	crashes map[catalog.LeafID]Crash
	// refusedAt is when it last came and was refused; zero for never.
	refusedAt time.Time
}

// ReportCrash reports to the fleet a crash that this VM saw.
func (m *Manager) ReportCrash(c Crash) {
	m.mu.Lock()
	m.suspectOf(c.Digest).record(c)
	m.mu.Unlock()
	m.localEvents.Fire()
}

// ReportAnswer reports to the fleet that a leaf has answered the request since its crashes that are known here.
func (m *Manager) ReportAnswer(digest uint64) {
	m.mu.Lock()
	s := m.suspects[digest]
	news := s != nil && s.outlive()
	m.mu.Unlock()
	if news {
		m.localEvents.Fire()
	}
}

// Refute reports to the fleet that the crashes of the request at the leaves do not count against it. Only those that are known
// here are refuted: dates of different VMs don't tell whether another crash came before.
func (m *Manager) Refute(digest uint64, leaves []catalog.LeafID, at time.Time) {
	m.mu.Lock()
	s := m.suspects[digest]
	news := s != nil && s.refute(leaves, at)
	m.mu.Unlock()
	if news {
		m.localEvents.Fire()
	}
}

// ReportRefusal records that the request came and was refused for its crashes, so that they are kept.
func (m *Manager) ReportRefusal(digest uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.suspects[digest]; s != nil {
		s.refusedAt = at
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

// OtherCrashes returns the crashes that stand of all other requests, in no particular order.
func (m *Manager) OtherCrashes(digest uint64) []Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Crash
	for other, s := range m.suspects {
		if other != digest {
			out = append(out, s.since(time.Time{})...)
		}
	}
	return out
}

// Suspects returns the digests of the requests that were in flight at crashes.
func (m *Manager) Suspects() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.suspects))
}

// outlive records that a leaf has answered the request, and reports whether that is news of any crash.
func (s *suspect) outlive() (news bool) {
	for leaf, c := range s.crashes {
		if c.stands() && !c.Outlived {
			c.Outlived = true
			s.crashes[leaf] = c
			news = true
		}
	}
	return news
}

// refute records that the crashes at the leaves are refuted, and reports whether any of them stood.
func (s *suspect) refute(leaves []catalog.LeafID, at time.Time) (news bool) {
	for _, leaf := range leaves {
		if c, ok := s.crashes[leaf]; ok && c.stands() {
			c.refutedAt = at
			s.crashes[leaf] = c
			news = true
		}
	}
	return news
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

// record merges a crash into what is known of the request, and reports whether that is news: the crash was not known, not
// confirmed, not outlived, or not refuted. The result does not depend on the order in which crashes are recorded.
func (s *suspect) record(c Crash) (news bool) {
	known, ok := s.crashes[c.Leaf]
	if !ok {
		s.crashes[c.Leaf] = c
		return true
	}
	news = known.Unconfirmed && !c.Unconfirmed || known.stands() && !c.stands() || c.Outlived && !known.Outlived
	known.Repeated, known.Answered, known.Outlived = c.Repeated || known.Repeated, c.Answered || known.Answered, c.Outlived || known.Outlived
	known.Unconfirmed = c.Unconfirmed && known.Unconfirmed
	known.Ran = max(known.Ran, c.Ran)
	known.refutedAt = later(known.refutedAt, c.refutedAt)
	s.crashes[c.Leaf] = known
	return news
}

// dropCrashes drops what is older than its retention. The caller must hold mu.
func (m *Manager) dropCrashes(now time.Time) {
	for digest, s := range m.suspects {
		for leaf, c := range s.crashes {
			if now.Sub(c.At) > s.retention(&c, now) {
				delete(s.crashes, leaf)
			}
		}
		if len(s.crashes) == 0 {
			delete(m.suspects, digest)
		}
	}
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

// tells reports whether exchanges name the crash.
func (c *Crash) tells(now time.Time) bool {
	return c.stands() || now.Sub(c.refutedAt) <= answeredRetention
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
