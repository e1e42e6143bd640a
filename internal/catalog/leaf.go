package catalog

import (
	"strconv"
	"time"
)

// LeafID identifies one start of a leaf. State learned about one start does not apply to the next, which
// keeps no state of earlier ones.
type LeafID struct {
	// Name is the id that the leaf registers with. A later start may reuse it.
	Name string
	// StartMillis is the start time by the leaf's own clock, in Unix milliseconds. It is 0 if leaves do
	// not report it; they have a new name at each start then.
	StartMillis int64
}

// String returns the name, followed by "@" and StartMillis if it is known.
func (id LeafID) String() string {
	if id.StartMillis == 0 {
		return id.Name
	}
	return id.Name + "@" + strconv.FormatInt(id.StartMillis, 10)
}

// Leaf is one start of an upstream process, as it registered itself.
type Leaf struct {
	ID      LeafID
	Service string
	Address string
	Zone    string
	// Slots is how many requests the leaf runs concurrently.
	Slots int
	// Draining is set once the leaf has announced its shutdown.
	Draining bool
	// Sequence counts the leaf's writes since its start.
	Sequence int64
	// Warmup is the remaining time, at registration, for which the leaf is slow after its start.
	Warmup time.Duration
	// ColdUntil is when the leaf ceases to be cold, by this VM's clock. Until then it tolerates fewer requests, by
	// the WarmupRate of its service. It is not part of the registration.
	ColdUntil time.Time
}

// Cold reports whether the leaf is cold.
func (l Leaf) Cold(now time.Time) bool { return now.Before(l.ColdUntil) }
