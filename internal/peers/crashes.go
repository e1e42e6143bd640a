package peers

import (
	"maps"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
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
	// answeredRetention is how long a request is kept whose latest crash was followed by an answer, so that all VMs
	// learn of the answer.
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
}

// suspect holds what the fleet knows of a request that was in flight at crashes.
type suspect struct {
	crashes map[catalog.LeafID]Crash
	// answeredAt is when a leaf last answered it, refusedAt when it last came and was refused; zero for never.
	answeredAt, refusedAt time.Time
}

// ReportCrash reports to the fleet a crash that this VM saw.
func (m *Manager) ReportCrash(c Crash) {
	m.mu.Lock()
	m.suspectOf(c.Digest).record(c)
	m.mu.Unlock()
	m.localEvents.Fire()
}

// ReportAnswer reports to the fleet that a leaf has answered the request at the time. It does nothing if no crash since
// the last answer is known.
func (m *Manager) ReportAnswer(digest uint64, at time.Time) {
	m.mu.Lock()
	s := m.suspects[digest]
	news := s != nil && len(s.since(s.answeredAt)) > 0
	if news {
		s.answeredAt = at
	}
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

// Crashes returns the leaves that have ended while the request was in flight there, since the given time and since the
// last answer to it. All crashes since that answer are returned where the request was refused since the given time.
func (m *Manager) Crashes(digest uint64, since time.Time) []Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.suspects[digest]
	if s == nil {
		return nil
	}
	if s.refusedAt.After(since) || s.answeredAt.After(since) {
		since = s.answeredAt
	}
	return s.since(since)
}

// Suspects returns the digests of the requests that were in flight at crashes.
func (m *Manager) Suspects() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.suspects))
}

func (s *suspect) since(t time.Time) []Crash {
	var out []Crash
	for _, c := range s.crashes {
		if c.At.After(t) {
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

// record merges a crash into what is known of the request, and reports whether that is news: the crash was not known, or
// not confirmed.
func (s *suspect) record(c Crash) (news bool) {
	known, ok := s.crashes[c.Leaf]
	if ok {
		c.At, c.Repeated, c.Answered = known.At, c.Repeated || known.Repeated, c.Answered || known.Answered
		c.Unconfirmed = c.Unconfirmed && known.Unconfirmed
	}
	s.crashes[c.Leaf] = c
	return !ok || known.Unconfirmed && !c.Unconfirmed
}

// dropCrashes drops what is older than its retention. The caller must hold mu.
func (m *Manager) dropCrashes(now time.Time) {
	for digest, s := range m.suspects {
		for leaf, c := range s.crashes {
			if now.Sub(c.At) > s.retention(c, now) {
				delete(s.crashes, leaf)
			}
		}
		if len(s.crashes) == 0 {
			delete(m.suspects, digest)
		}
	}
}

// retention returns how long after it happened the crash is kept, as of now.
func (s *suspect) retention(c Crash, now time.Time) time.Duration {
	switch {
	case s.answeredAt.After(c.At):
		return s.answeredAt.Sub(c.At) + answeredRetention
	case c.Unconfirmed:
		return unconfirmedRetention
	case now.Sub(s.refusedAt) <= longRetention:
		return now.Sub(c.At)
	case len(s.crashes) >= manyCrashes:
		return longRetention
	}
	return crashRetention
}

// encodeCrashes adds the crashes and the answers to the message. If there are too many, those of requests that were in
// flight at several go first. The caller must hold mu.
func (m *Manager) encodeCrashes(msg *pb.FleetExchange, now time.Time) {
	for digest, s := range m.suspects {
		if len(s.crashes) > 1 {
			s.encode(msg, digest, now)
		}
	}
	for digest, s := range m.suspects {
		if len(s.crashes) == 1 && len(msg.Crashes) < maxCrashesPerExchange {
			s.encode(msg, digest, now)
		}
	}
}

func (s *suspect) encode(msg *pb.FleetExchange, digest uint64, now time.Time) {
	refusedAge := int64(-1)
	if !s.refusedAt.IsZero() {
		refusedAge = now.Sub(s.refusedAt).Milliseconds()
	}
	for leaf, c := range s.crashes {
		msg.Crashes = append(msg.Crashes, &pb.FleetCrash{
			Digest: digest, Leaf: leaf.Name, LeafBorn: leaf.StartMillis, AgeMs: now.Sub(c.At).Milliseconds(),
			Repeated: c.Repeated, Answered: c.Answered, Unconfirmed: c.Unconfirmed, RefusedAgeMs: refusedAge,
		})
	}
	if !s.answeredAt.IsZero() {
		msg.CrashAnswers = append(msg.CrashAnswers, &pb.FleetCrashAnswer{Digest: digest, AgeMs: now.Sub(s.answeredAt).Milliseconds()})
	}
}

// mergeCrashes merges the crashes and the answers of a message, and reports whether they hold news that this VM has to
// pass on at once: a further crash of a request, or an answer to it. A first crash spreads with the other exchanges: leaves
// that end together leave many of them. The caller must hold mu.
func (m *Manager) mergeCrashes(msg *pb.FleetExchange, now time.Time) (news bool) {
	told := decodeCrashes(msg, now)
	for digest, t := range told {
		s := m.suspects[digest]
		if s == nil {
			s = &suspect{crashes: make(map[catalog.LeafID]Crash)}
		}
		before := len(s.since(s.answeredAt))
		s.answeredAt, s.refusedAt = later(s.answeredAt, t.answeredAt), later(s.refusedAt, t.refusedAt)
		news = news || len(s.crashes) > 1 && len(s.since(s.answeredAt)) < before
		for leaf, c := range t.crashes {
			_, known := s.crashes[leaf]
			if !known && now.Sub(c.At) > max(s.retention(c, now), t.retention(c, now)) {
				continue // it has been dropped here, and the sender is about to
			}
			isNew := s.record(c)
			news = news || isNew && len(s.crashes) > 1
		}
		if len(s.crashes) > 0 {
			m.suspects[digest] = s
		}
	}
	return news
}

// decodeCrashes returns the crashes and the answers of a message by digest.
func decodeCrashes(msg *pb.FleetExchange, now time.Time) map[uint64]*suspect {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	out := make(map[uint64]*suspect)
	for _, c := range msg.GetCrashes() {
		s := out[c.GetDigest()]
		if s == nil {
			s = &suspect{crashes: make(map[catalog.LeafID]Crash)}
			out[c.GetDigest()] = s
		}
		s.record(Crash{
			Digest: c.GetDigest(), Leaf: catalog.LeafID{Name: c.GetLeaf(), StartMillis: c.GetLeafBorn()},
			At: ago(c.GetAgeMs()), Repeated: c.GetRepeated(), Answered: c.GetAnswered(), Unconfirmed: c.GetUnconfirmed(),
		})
		if c.GetRefusedAgeMs() >= 0 {
			s.refusedAt = ago(c.GetRefusedAgeMs())
		}
	}
	for _, a := range msg.GetCrashAnswers() {
		if s := out[a.GetDigest()]; s != nil {
			s.answeredAt = ago(a.GetAgeMs())
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
