package upstream

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// maxDeparted bounds how many departed incarnations of one leaf are remembered.
const maxDeparted = 16

// presence decides from all evidence whether a leaf is leaving. It has no side effects; the leaf's
// mutex guards it. The rules, strongest first:
//
//	evidence                               holds                             cleared by
//	names an incarnation (refusal, GOAWAY, for that incarnation,             a connection that shows another
//	status)                                permanently                       incarnation
//	refused connection, names none         while it is newer than the        a connection opened after it whose
//	                                       newest accepted connection        status does not say draining
//	list or LIST departure, names none     while the view says so, unless    a view that no longer says so, or a
//	                                       the incarnation is newer than it  later incarnation
//	list says live                         never counts
//
// Evidence without an incarnation cannot hold permanently: a list that lags may refer to the
// previous incarnation, and a middlebox may refuse a connection on behalf of a leaf.
type presence struct {
	// incarnation is the current one, 0 until it is known.
	incarnation uint64
	// incarnationSince is when the first connection to the current incarnation was opened.
	incarnationSince time.Time
	// lastConfirmed is when the newest connection was opened on which the current incarnation
	// answered.
	lastConfirmed time.Time
	// replaced is true once an incarnation was seen to follow another.
	replaced bool
	// lastAccepted is when the newest connection was opened whose status was not draining.
	lastAccepted time.Time
	// departed maps each incarnation known to be leaving to the evidence for it.
	departed map[uint64]pb.DepartureSource
	// lastRefused is the time of the newest refused connection, zero if there was none.
	lastRefused time.Time
	// listed is true if the newest view says leaving without naming an incarnation.
	listed bool
}

// leaving returns the evidence that the leaf is leaving, or unspecified if there is none.
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

// recordConnected records a connection that was opened at the given time to an incarnation, 0 if
// its status request was not answered. It returns false if the connection belongs to an earlier
// incarnation than the current one.
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

// recordDeparture records evidence that names an incarnation, and returns whether it is the first
// for that incarnation.
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

// evictOne evicts one departed incarnation other than the current one.
func (p *presence) evictOne() {
	for n := range p.departed {
		if n != p.incarnation {
			delete(p.departed, n)
			return
		}
	}
}

// recordRefused records a connection refused at the given time. It returns whether this is new
// evidence: whether the leaf did not count as refusing before.
func (p *presence) recordRefused(at time.Time) bool {
	isNew := p.lastRefused.IsZero() || p.lastRefused.Before(p.lastAccepted)
	if at.After(p.lastRefused) {
		p.lastRefused = at
	}
	return isNew && !p.lastRefused.Before(p.lastAccepted)
}

// recordListed records what the newest view says: whether the leaf is leaving, and since when.
func (p *presence) recordListed(leaving bool, since time.Time) {
	outdated := p.replaced && since.Before(p.incarnationSince)
	p.listed = leaving && !outdated
}
