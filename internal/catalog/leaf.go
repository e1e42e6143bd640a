package catalog

import (
	"strconv"
	"time"
)

// LeafID names one start of a leaf. What was learned of one start says nothing of the next, which knows and
// holds nothing of before.
type LeafID struct {
	// Name is the id under which the leaf registers, which a later start may have again.
	Name string
	// StartMillis is when it started by its own clock, in Unix milliseconds; 0 where leaves don't say, and have a new
	// name at each start.
	StartMillis int64
}

// String returns the name, with the start where one is known.
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
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is set once the leaf has announced its end.
	Draining bool
	// Warmup is how much longer the leaf is slow after its start, as of its registration.
	Warmup time.Duration
}
