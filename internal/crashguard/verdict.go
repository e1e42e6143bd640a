package crashguard

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

const (
	// crashesToBlock is the number of crashed leaves at which a request is blocked.
	crashesToBlock = 3
	// recurrentCrashes is the number of crashes from which a request may explain the crashes of others: a request that was
	// in flight at a single one is as likely to be innocent.
	recurrentCrashes = 2
	// occasionsToBlame is at how many different times leaves must have ended under a request that was never answered, for those
	// ends to count though another request that has been answered was in flight at all of them. It is above crashesToBlock, as an
	// innocent request may be in flight at the ends of one that crashes leaves until that one is blocked.
	occasionsToBlame = crashesToBlock + 1
	// outageWindow is how close in time leaves end that end together.
	outageWindow = 5 * time.Millisecond
	// longestOutage is how far apart VMs may notice the ends of leaves that end together.
	longestOutage = 100 * time.Millisecond
	// outageSpread is by how much the times have to differ for which a request had run at leaves that ended together.
	outageSpread = 10 * time.Millisecond
	// serviceOutageWindow is the longest time in which a request that comes often ends all leaves of a service. Leaves seldom end in
	// it for another reason.
	serviceOutageWindow = time.Second
)

// evidence is what the fleet knows of the leaves that ended while a request was in flight there.
type evidence struct {
	digest uint64
	// crashes of the request that are confirmed and stand, the first one first.
	crashes []peers.Crash
	// answered is set if a leaf has ever answered the request.
	answered bool
	// others holds, by digest, the crashes of all requests that are confirmed and stand, also those of this one.
	others map[uint64][]peers.Crash
}

// blames reports whether the request is to be blocked. A request that has been answered may have been in flight at several
// ends at once by chance, so that one of them has to come after the others.
func (e *evidence) blames() bool {
	counted := e.counted()
	return len(counted) >= crashesToBlock && (!e.answered || comeAgain(counted))
}

// counted returns the crashes that nothing else explains. Those of leaves that ended together count as one.
func (e *evidence) counted() []peers.Crash {
	var out []peers.Crash
	for _, c := range e.crashes {
		switch {
		case e.explainedByOther(c.Leaf):
		case e.answered && e.partOfOutage(c):
		case e.answered && e.endedTogether(c) && len(out) > 0 && together(c, out[len(out)-1]):
		default:
			out = append(out, c)
		}
	}
	return out
}

// comeAgain reports whether one of the crashes came after others: its request was sent when they were known, or it is too
// long after them to be another end of the same outage.
func comeAgain(crashes []peers.Crash) bool {
	for _, c := range crashes {
		if c.Repeated || c.At.Sub(crashes[0].At).Abs() > longestOutage {
			return true
		}
	}
	return false
}

// partOfOutage reports whether a leaf ended together with this one at which the request was not in flight. One that another
// request may have crashed shows nothing: that request was in flight at others, too.
func (e *evidence) partOfOutage(c peers.Crash) bool {
	for digest, crashes := range e.others {
		if digest == e.digest {
			continue
		}
		for _, other := range crashes {
			if together(c, other) && !endedAt(e.crashes, other.Leaf) && !comeAgain(crashes) {
				return true
			}
		}
	}
	return false
}

// endedTogether reports whether leaves ended together at which the request had run for different times. Leaves that a request
// crashes end as far apart as its runs began.
func (e *evidence) endedTogether(c peers.Crash) bool {
	shortest, longest := c.Ran, c.Ran
	for _, other := range e.crashes {
		if together(c, other) {
			shortest, longest = min(shortest, other.Ran), max(longest, other.Ran)
		}
	}
	return longest-shortest > outageSpread
}

// together reports whether two leaves ended at about the same time.
func together(a, b peers.Crash) bool { return a.At.Sub(b.At).Abs() <= outageWindow }

// explainedByOther reports whether another request that was in flight at the end of the leaf is more suspect.
func (e *evidence) explainedByOther(leaf catalog.LeafID) bool {
	for digest, crashes := range e.others {
		if digest != e.digest && len(crashes) >= recurrentCrashes && endedAt(crashes, leaf) && e.lessSuspectThan(crashes) {
			return true
		}
	}
	return false
}

// lessSuspectThan reports whether another request with the crashes is more suspect than this one. One that has been answered
// is less suspect than any that was in flight at as many ends, or at one less if that one is blocked and was never answered,
// unless the leaf in question ended between the others.
// One that has never been answered is less suspect only than one that was in flight at all its ends and at others, and not even
// then if leaves have outlived that one while each that ran this one has ended, again and again.
func (e *evidence) lessSuspectThan(crashes []peers.Crash) bool {
	n := len(crashes)
	switch {
	case !e.answered:
		return n > len(e.crashes) && e.allEndedAt(crashes) && !(answered(crashes) && occasions(e.crashes) >= occasionsToBlame)
	case n >= crashesToBlock && !answered(crashes):
		return n >= len(e.crashes) || n+1 == len(e.crashes) && !e.endedAmid(crashes)
	}
	return n >= len(e.crashes)
}

// occasions returns at how many different times the leaves ended. The crashes are in the order of their times.
func occasions(crashes []peers.Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.At.Sub(last) > longestOutage {
			n++
		}
		last = c.At
	}
	return n
}

// endedAmid reports whether a leaf at which only this request was in flight ended between the first and the last of the other
// crashes, which followed each other soon.
func (e *evidence) endedAmid(crashes []peers.Crash) bool {
	first := slices.MinFunc(crashes, compareTimes)
	last := slices.MaxFunc(crashes, compareTimes)
	if last.At.Sub(first.At) > serviceOutageWindow {
		return false
	}
	return slices.ContainsFunc(e.crashes, func(c peers.Crash) bool {
		return !endedAt(crashes, c.Leaf) && c.At.After(first.At) && c.At.Before(last.At)
	})
}

func compareTimes(a, b peers.Crash) int { return a.At.Compare(b.At) }

// allEndedAt reports whether the other crashes include all ends of this request.
func (e *evidence) allEndedAt(crashes []peers.Crash) bool {
	for _, c := range e.crashes {
		if !endedAt(crashes, c.Leaf) {
			return false
		}
	}
	return true
}

// answered reports whether a leaf has answered the request of the crashes, as far as they tell.
func answered(crashes []peers.Crash) bool {
	for _, c := range crashes {
		if c.Answered || c.Outlived {
			return true
		}
	}
	return false
}

func endedAt(crashes []peers.Crash, leaf catalog.LeafID) bool {
	for _, c := range crashes {
		if c.Leaf == leaf {
			return true
		}
	}
	return false
}

// confirmed returns the crashes whose leaf is among those of the standing crashes that are known to have ended, also those of
// which only another VM or request knows so yet.
func confirmed(crashes, ended []peers.Crash) []peers.Crash {
	out := make([]peers.Crash, 0, len(ended))
	for _, c := range crashes {
		if endedAt(ended, c.Leaf) {
			out = append(out, c)
		}
	}
	return out
}
