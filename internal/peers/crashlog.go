package peers

import (
	"cmp"
	"slices"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// crashLog holds the order in which this VM learned what it knows of crashes, so that each peer is told only what it lacks:
// while answers are lost, each of some thousand requests is in flight at the end of a connection. The zero value is empty.
type crashLog struct {
	// last is the number of the latest change. The first one has the number 1.
	last uint64
	// changes holds the latest change of each crash, and possibly earlier ones, by rising numbers.
	changes []crashChange
}

// crashChange is a change of a crash.
type crashChange struct {
	number, digest uint64
	leaf           catalog.LeafID
}

// add appends a change and returns its number.
func (l *crashLog) add(digest uint64, leaf catalog.LeafID) uint64 {
	l.last++
	l.changes = append(l.changes, crashChange{l.last, digest, leaf})
	return l.last
}

// after returns the changes with higher numbers.
func (l *crashLog) after(number uint64) []crashChange {
	i, _ := slices.BinarySearchFunc(l.changes, number+1, func(c crashChange, n uint64) int { return cmp.Compare(c.number, n) })
	return l.changes[i:]
}

// compact removes the changes of crashes that are no longer known, and those that were followed by another.
func (l *crashLog) compact(suspects map[uint64]*suspect) {
	l.changes = slices.DeleteFunc(l.changes, func(c crashChange) bool { return crashOf(suspects, c) == nil })
}

// crashOf returns the crash whose latest change this is, or nil if there was a later one or the crash is no longer known.
func crashOf(suspects map[uint64]*suspect, change crashChange) *Crash {
	s := suspects[change.digest]
	if s == nil {
		return nil
	}
	c, ok := s.crashes[change.leaf]
	if !ok || c.change != change.number {
		return nil
	}
	return &c
}

// noteChange enters into the log that the crash of the request at the leaf has changed, by a message of the VM toldBy or, if that
// is empty, by what this VM observed or combined. The caller must hold mu.
func (m *Manager) noteChange(s *suspect, digest uint64, leaf catalog.LeafID, toldBy string) {
	c := s.crashes[leaf]
	c.change, c.toldBy = m.crashLog.add(digest, leaf), toldBy
	s.crashes[leaf] = c
	m.confirmed.forget(&c)
}
