package upstream

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// maxNamed bounds how many departed incarnations of one leaf are remembered.
const maxNamed = 16

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
	// learned is when the first connection to the current incarnation was opened.
	learned time.Time
	// shown is when the newest connection was opened on which the current incarnation answered.
	shown time.Time
	// replaced is true once an incarnation was seen to follow another.
	replaced bool
	// accepted is when the newest connection was opened whose status was not draining.
	accepted time.Time
	// named holds the incarnations that are known to leave, and by which evidence.
	named map[uint64]pb.DepartureSource
	// refused is the time of the newest refused connection, zero where there was none.
	refused time.Time
	// listed is true where the newest view says leaving without naming an incarnation.
	listed bool
}

// leaving returns the evidence by which the leaf is leaving, or unspecified where it isn't.
func (p *presence) leaving() pb.DepartureSource {
	if s, ok := p.named[p.incarnation]; ok {
		return s
	}
	if p.incarnation == 0 {
		for _, s := range p.named {
			return s
		}
	}
	switch {
	case !p.refused.IsZero() && !p.refused.Before(p.accepted):
		return pb.DepartureSource_DEPARTURE_SOURCE_CONNECT
	case p.listed:
		return pb.DepartureSource_DEPARTURE_SOURCE_LIST
	}
	return pb.DepartureSource_DEPARTURE_SOURCE_UNSPECIFIED
}

// connected takes in a connection that was opened at the given time to an incarnation, 0 where its
// status was not answered. It returns false where the connection belongs to an earlier incarnation
// than the current one.
func (p *presence) connected(incarnation uint64, opened time.Time) bool {
	if incarnation == 0 || incarnation == p.incarnation {
		if incarnation != 0 && opened.After(p.shown) {
			p.shown = opened
		}
		p.accept(opened)
		return true
	}
	if p.incarnation != 0 {
		if opened.Before(p.learned) {
			return false
		}
		p.replaced = true
		p.listed = false
	}
	p.incarnation, p.learned, p.shown = incarnation, opened, opened
	p.accept(opened)
	return true
}

func (p *presence) accept(opened time.Time) {
	if _, gone := p.named[p.incarnation]; !gone && opened.After(p.accepted) {
		p.accepted = opened
	}
}

// depart takes in evidence that names an incarnation, and returns whether it is news.
func (p *presence) depart(incarnation uint64, source pb.DepartureSource) bool {
	if _, known := p.named[incarnation]; known {
		return false
	}
	if p.named == nil {
		p.named = make(map[uint64]pb.DepartureSource)
	}
	if len(p.named) >= maxNamed {
		p.forgetOne()
	}
	p.named[incarnation] = source
	return true
}

// forgetOne drops one departed incarnation that isn't the current one.
func (p *presence) forgetOne() {
	for n := range p.named {
		if n != p.incarnation {
			delete(p.named, n)
			return
		}
	}
}

// refuse takes in a refused connection of the given time, and returns whether it is news: whether
// the leaf was not refusing before.
func (p *presence) refuse(at time.Time) bool {
	news := p.refused.IsZero() || p.refused.Before(p.accepted)
	if at.After(p.refused) {
		p.refused = at
	}
	return news && !p.refused.Before(p.accepted)
}

// list takes in what the newest view says: whether the leaf is leaving, and since when.
func (p *presence) list(leaving bool, since time.Time) {
	outdated := p.replaced && since.Before(p.learned)
	p.listed = leaving && !outdated
}
