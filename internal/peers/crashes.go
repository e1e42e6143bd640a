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
	// answeredRetention is how long a VM tells others of a crash that an answer has refuted, so that all learn of it.
	answeredRetention = 10 * time.Second
	// unconfirmedRetention is how long a crash is kept that nothing has confirmed.
	unconfirmedRetention = 6 * time.Second
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
	// refutedAt is when this VM learned that an answer has refuted the crash, or last heard from a VM that did not know.
	// It is zero for a crash that stands.
	refutedAt time.Time
}

// stands reports whether no answer has refuted the crash.
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

// ReportAnswer reports to the fleet that a leaf has answered the request at the time. The answer refutes the crashes that
// are known here, and those only: dates of different VMs don't tell whether another crash came before it. It returns the
// leaves of the crashes that it refuted.
func (m *Manager) ReportAnswer(digest uint64, at time.Time) []catalog.LeafID {
	m.mu.Lock()
	var refuted []catalog.LeafID
	if s := m.suspects[digest]; s != nil {
		refuted = s.refute(at)
	}
	m.mu.Unlock()
	if len(refuted) > 0 {
		m.localEvents.Fire()
	}
	return refuted
}

// ReportRefusal records that the request came and was refused for its crashes, so that they are kept.
func (m *Manager) ReportRefusal(digest uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.suspects[digest]; s != nil {
		s.refusedAt = at
	}
}

// Crashes returns the leaves that have ended while the request was in flight there, since the given time, and that no
// answer has refuted. All of these are returned where the request was refused since the given time.
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

// refute records that an answer has refuted the crashes that are known, and returns the leaves of those that stood.
func (s *suspect) refute(at time.Time) []catalog.LeafID {
	var refuted []catalog.LeafID
	for leaf, c := range s.crashes {
		if c.stands() {
			c.refutedAt = at
			s.crashes[leaf] = c
			refuted = append(refuted, leaf)
		}
	}
	return refuted
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
// confirmed, or not refuted. The result does not depend on the order in which crashes are recorded.
func (s *suspect) record(c Crash) (news bool) {
	known, ok := s.crashes[c.Leaf]
	if !ok {
		s.crashes[c.Leaf] = c
		return true
	}
	news = known.Unconfirmed && !c.Unconfirmed || known.stands() && !c.stands()
	known.Repeated, known.Answered = c.Repeated || known.Repeated, c.Answered || known.Answered
	known.Unconfirmed = c.Unconfirmed && known.Unconfirmed
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
