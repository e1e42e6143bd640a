package peers

import (
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
)

// maxCrashesPerExchange bounds the crashes that an exchange names, some 40 bytes each. The next one names the others.
const maxCrashesPerExchange = 500

// encodeCrashes adds to the message the changes of crashes that the recipient has not merged yet. The caller must hold mu.
func (m *Manager) encodeCrashes(msg *pb.FleetExchange, now time.Time, to string) {
	e := m.members[to]
	if e == nil {
		e = new(member)
	}
	defer func() { m.metrics.crashesTold.Add(float64(len(msg.Crashes))) }()
	msg.CrashesFrom, msg.CrashesTo = e.crashesAcked, m.crashLog.last
	msg.CrashesMerged, msg.CrashesMergedIncarnation = e.crashesMerged, e.record.GetIncarnation()
	for _, change := range m.crashLog.after(e.crashesAcked) {
		c := crashOf(m.suspects, change)
		if c == nil || !e.lacks(c, to, now) {
			continue
		}
		if len(msg.Crashes) == maxCrashesPerExchange {
			msg.CrashesTo = change.number - 1
			return
		}
		msg.Crashes = append(msg.Crashes, m.suspects[change.digest].encode(c, now))
	}
}

// lacksCrashes reports whether the member at the address may lack a change of a crash. The caller must hold mu.
func (m *Manager) lacksCrashes(e *member, address string, now time.Time) bool {
	return slices.ContainsFunc(m.crashLog.after(e.crashesAcked), func(change crashChange) bool {
		c := crashOf(m.suspects, change)
		return c != nil && e.lacks(c, address, now)
	})
}

// lacks reports whether the member at the address may lack the latest change of the crash, which it has not merged yet. A crash
// that has been refuted for a while is told only to one that may know of the crash.
func (e *member) lacks(c *Crash, address string, now time.Time) bool {
	if e.crashesAcked > 0 {
		return c.toldBy != address
	}
	return c.stands() || now.Sub(c.refutedAt) <= answeredRetention
}

func (s *suspect) encode(c *Crash, now time.Time) *pb.FleetCrash {
	refusedAge := int64(-1)
	if !s.refusedAt.IsZero() {
		refusedAge = now.Sub(s.refusedAt).Milliseconds()
	}
	return &pb.FleetCrash{
		Digest: c.Digest, Leaf: c.Leaf.Name, LeafBorn: c.Leaf.StartMillis, AgeMs: now.Sub(c.At).Milliseconds(),
		Repeated: c.Repeated, Answered: c.Answered, Unconfirmed: c.Unconfirmed, Refuted: !c.stands(), RefusedAgeMs: refusedAge,
		Outlived: c.Outlived, RanMs: c.Ran.Milliseconds(),
	}
}

// mergeProgress records which changes of crashes the sender of a message has told and merged. The caller must hold mu.
func (m *Manager) mergeProgress(msg *pb.FleetExchange) {
	e := m.members[msg.GetSender().GetAddress()]
	if e == nil || e.record.GetIncarnation() != msg.GetSender().GetIncarnation() {
		return
	}
	if msg.GetCrashesFrom() <= e.crashesMerged {
		e.crashesMerged = max(e.crashesMerged, msg.GetCrashesTo())
	}
	if msg.GetCrashesMergedIncarnation() == m.self.GetIncarnation() {
		e.crashesAcked = max(e.crashesAcked, msg.GetCrashesMerged())
	}
}

// mergeCrashes merges the crashes of a message, and reports whether they hold news that this VM has to pass on at once: a
// further crash of a request, or an answer to it. A first crash spreads with the other exchanges: leaves that end together
// leave many of them. The caller must hold mu.
func (m *Manager) mergeCrashes(msg *pb.FleetExchange, now time.Time) (news bool) {
	for digest, told := range decodeCrashes(msg, now) {
		s := m.suspects[digest]
		if s == nil {
			s = &suspect{crashes: make(map[catalog.LeafID]Crash)}
		}
		if m.mergeSuspect(s, digest, told, msg.GetSender().GetAddress(), now) {
			news = true
		}
		if len(s.crashes) > 0 {
			m.suspects[digest] = s
		}
	}
	m.mergeProgress(msg)
	return news
}

// mergeSuspect merges what the VM at the address from told of a request. The caller must hold mu.
func (m *Manager) mergeSuspect(s *suspect, digest uint64, told *suspect, from string, now time.Time) (news bool) {
	m.recordRefusal(s, digest, told.refusedAt)
	for _, c := range told.crashes {
		_, known := s.crashes[c.Leaf]
		changed, isNew := s.merge(c, told, now)
		switch {
		case changed && known:
			m.noteChange(s, digest, c.Leaf, "")
		case changed:
			m.noteChange(s, digest, c.Leaf, from)
		}
		news = news || isNew && len(s.crashes) > 1
	}
	return news
}

// merge merges a crash that another VM told, which knows of the request what told holds. It reports whether that changed
// anything, and whether it is news.
func (s *suspect) merge(c Crash, told *suspect, now time.Time) (changed, news bool) {
	known, ok := s.crashes[c.Leaf]
	switch {
	case !ok && now.Sub(c.At) > max(s.retentionIfNew(&c, now), told.retentionIfNew(&c, now)):
		return false, false // it has been dropped here, and the sender is about to
	case ok && !known.stands() && c.stands():
		c.refutedAt = now // the sender is to learn that it is refuted
	case ok && !known.stands():
		c.refutedAt = known.refutedAt
	}
	return s.record(c)
}

// retentionIfNew returns up to which age a crash is taken that is not known. A refuted one is taken as long as one that
// stands, or those dropped by some VMs would go round for ever.
func (s *suspect) retentionIfNew(c *Crash, now time.Time) time.Duration {
	standing := *c
	standing.refutedAt = time.Time{}
	if c.stands() {
		return s.retention(&standing, now)
	}
	return s.retention(&standing, now) + answeredRetention
}

// decodeCrashes returns the crashes of a message by digest.
func decodeCrashes(msg *pb.FleetExchange, now time.Time) map[uint64]*suspect {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	out := make(map[uint64]*suspect)
	for _, c := range msg.GetCrashes() {
		s := out[c.GetDigest()]
		if s == nil {
			s = &suspect{crashes: make(map[catalog.LeafID]Crash)}
			out[c.GetDigest()] = s
		}
		s.record(decodeCrash(c, ago(c.GetAgeMs()), now))
		if c.GetRefusedAgeMs() >= 0 {
			s.refusedAt = ago(c.GetRefusedAgeMs())
		}
	}
	return out
}

func decodeCrash(c *pb.FleetCrash, at, now time.Time) Crash {
	out := Crash{
		Digest: c.GetDigest(), Leaf: catalog.LeafID{Name: c.GetLeaf(), StartMillis: c.GetLeafBorn()},
		At: at, Repeated: c.GetRepeated(), Answered: c.GetAnswered(), Unconfirmed: c.GetUnconfirmed(),
		Outlived: c.GetOutlived(), Ran: time.Duration(c.GetRanMs()) * time.Millisecond,
	}
	if c.GetRefuted() {
		out.refutedAt = now
	}
	return out
}
