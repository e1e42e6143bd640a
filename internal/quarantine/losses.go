package quarantine

import "time"

// lossResolutionTimeout is how long a lost connection may count as a possible crash. After it the
// request is cleared if the leaf's incarnation has not changed. A new connection that shows the same
// incarnation clears the request earlier.
const lossResolutionTimeout = time.Second

// resolveLosses decides which lost connections were crashes: those whose leaf is gone or has another
// incarnation. It reports crashes to the other VMs and withdraws the evidence of losses without a
// crash. Requires mu.
func (r *Registry) resolveLosses(now time.Time) {
	kept := r.unresolved[:0]
	for _, l := range r.unresolved {
		switch r.classifyLoss(l, now) {
		case lossByCrash:
			r.metrics.crashes.Inc()
			r.reportCrash(l.digest, l.crash, now)
		case lossWithoutCrash:
			r.withdrawEvidence(l)
		default:
			kept = append(kept, l)
		}
	}
	r.unresolved = kept
}

// lossCause is the result of classifying a lost connection.
type lossCause int

const (
	lossUnresolved lossCause = iota
	lossByCrash
	lossWithoutCrash
)

func (r *Registry) classifyLoss(l loss, now time.Time) lossCause {
	s, known := r.leafState(l.leaf)
	switch {
	case survived(l.incarnation, s):
		return lossWithoutCrash
	case known && !s.Connected && (s.Leaving || now.Sub(l.notedAt) > reconnectGracePeriod):
		return lossByCrash
	case l.incarnation != 0 && s.Incarnation != 0 && s.Incarnation != l.incarnation:
		return lossByCrash
	case now.Sub(l.notedAt) > lossResolutionTimeout:
		return lossWithoutCrash
	}
	return lossUnresolved
}

// withdrawEvidence removes a lost connection from the evidence against its request. Requires mu.
func (r *Registry) withdrawEvidence(l loss) {
	s := r.suspects[l.digest]
	if s == nil {
		return
	}
	r.metrics.cleared.Inc()
	s.removeCrash(l.crashID)
	if len(s.crashes) == 0 {
		delete(r.suspects, l.digest)
	}
}
