package upstream

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// maxDeparted bounds how many departed incarnations of one leaf are remembered.
const maxDeparted = 16

// presence judges whether a leaf is leaving, from all evidence. It is pure; the leaf's mutex guards
// it. The rules, strongest first:
//
//	evidence                               holds                             cleared by
//	names an incarnation (refusal, GOAWAY, for that incarnation, for good    a connection that shows another
//	status)                                                                  incarnation
//	refused connection, names none         while it is newer than the        a connection opened after it whose
//	                                       newest accepted connection        status does not say draining
//	list or LIST departure, names none     while the view says so, unless    the view no longer says so, or a
//	                                       the incarnation is newer than it  later incarnation
//	list says live                         never counts
//
// Evidence without an incarnation can't be kept for good: a list that lags may speak of the
// incarnation before, and a middlebox may refuse a connection in a leaf's name.
type presence struct {
	// incarnation is the current one, 0 until it is known.
	incarnation uint64
	// incarnationSince is when the first connection to the current incarnation was opened.
	incarnationSince time.Time
	// lastConfirmed is when the newest connection was opened on which the current incarnation answered.
	lastConfirmed time.Time
	// replaced is true once an incarnation was seen to follow another.
	replaced bool
	// lastAccepted is when the newest connection was opened whose status was not draining.
	lastAccepted time.Time
	// departed holds the incarnations that are known to leave, and by which evidence.
	departed map[uint64]pb.DepartureSource
	// lastRefused is the time of the newest refused connection, zero where there was none.
	lastRefused time.Time
	// listed is true where the newest view says leaving without naming an incarnation.
	listed bool
}

// leaving returns the evidence by which the leaf is leaving, or unspecified where it isn't.
func (p *presence) leaving() pb.DepartureSource {
	if s, ok := p.departed[p.incarnation]; ok {
		return s
	}
	if p.incarnation == 0 {
		for _, s := range p.departed {
			return s
		}
	}
	switch {
	case !p.lastRefused.IsZero() && !p.lastRefused.Before(p.lastAccepted):
		return pb.DepartureSource_DEPARTURE_SOURCE_CONNECT
	case p.listed:
		return pb.DepartureSource_DEPARTURE_SOURCE_LIST
	}
	return pb.DepartureSource_DEPARTURE_SOURCE_UNSPECIFIED
}

// recordConnected takes in a connection that was opened at the given time to an incarnation, 0 where its
// status was not answered. It returns false where the connection belongs to an earlier incarnation
// than the current one.
func (p *presence) recordConnected(incarnation uint64, opened time.Time) bool {
	if incarnation == 0 || incarnation == p.incarnation {
		if incarnation != 0 && opened.After(p.lastConfirmed) {
			p.lastConfirmed = opened
		}
		p.recordAccepted(opened)
		return true
	}
	if p.incarnation != 0 {
		if opened.Before(p.incarnationSince) {
			return false
		}
		p.replaced = true
		p.listed = false
	}
	p.incarnation, p.incarnationSince, p.lastConfirmed = incarnation, opened, opened
	p.recordAccepted(opened)
	return true
}

func (p *presence) recordAccepted(opened time.Time) {
	if _, gone := p.departed[p.incarnation]; !gone && opened.After(p.lastAccepted) {
		p.lastAccepted = opened
	}
}

// recordDeparture takes in evidence that names an incarnation, and returns whether it is news.
func (p *presence) recordDeparture(incarnation uint64, source pb.DepartureSource) bool {
	if _, known := p.departed[incarnation]; known {
		return false
	}
	if p.departed == nil {
		p.departed = make(map[uint64]pb.DepartureSource)
	}
	if len(p.departed) >= maxDeparted {
		p.evictOne()
	}
	p.departed[incarnation] = source
	return true
}

// evictOne drops one departed incarnation that isn't the current one.
func (p *presence) evictOne() {
	for n := range p.departed {
		if n != p.incarnation {
			delete(p.departed, n)
			return
		}
	}
}

// recordRefused takes in a refused connection of the given time, and returns whether it is news: whether
// the leaf was not refusing before.
func (p *presence) recordRefused(at time.Time) bool {
	isNew := p.lastRefused.IsZero() || p.lastRefused.Before(p.lastAccepted)
	if at.After(p.lastRefused) {
		p.lastRefused = at
	}
	return isNew && !p.lastRefused.Before(p.lastAccepted)
}

// recordListed takes in what the newest view says: whether the leaf is leaving, and since when.
func (p *presence) recordListed(leaving bool, since time.Time) {
	outdated := p.replaced && since.Before(p.incarnationSince)
	p.listed = leaving && !outdated
}
