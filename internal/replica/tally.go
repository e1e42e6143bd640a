package replica

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// tallyDecay is the time constant by which calls are forgotten.
	tallyDecay = 4 * time.Second
	// recentWeight is the weight of one call in the recent share of failures. A VM that makes the calls of others
	// sends a dozen a second to each leaf. In the tally alone the successful calls of the last 4 s outweigh a new
	// failure, and a leaf that starts to lose 4 of 10 answers keeps its share of the calls for a second or more.
	recentWeight = 0.2
	// maxTallyCalls bounds the calls that enter a rate, so that a leaf that many VMs reported as bad is tried
	// again once nobody has called it for about 8 s.
	maxTallyCalls = 8
	// peerTallyExpiry is how long the report of another VM is kept, and maxPeerTallies how many are kept for each
	// leaf.
	peerTallyExpiry = 10 * time.Second
	maxPeerTallies  = 64
	// minTroubleCalls is the minimum of failed and slow calls for which a leaf is reported.
	minTroubleCalls = 0.3
	// maxTroubles bounds the leaves in a report; the worst leaves come first.
	maxTroubles = 64
)

// tally counts calls, weighted by their age.
type tally struct {
	calls, failed, slow float64
	at                  time.Time
}

// recentShare is the moving average of the share of failed, or of slow, calls.
type recentShare struct {
	share float64
	at    time.Time
}

// now returns the share, decayed to the given time.
func (r recentShare) now(now time.Time) float64 { return decay(r.share, 0, now.Sub(r.at), tallyDecay) }

// add counts one call.
func (r *recentShare) add(now time.Time, bad float64) {
	previous := r.now(now)
	*r = recentShare{previous + recentWeight*(bad-previous), now}
}

// aged returns the tally, decayed to the given time.
func (t tally) aged(now time.Time) tally {
	f := math.Exp(-float64(now.Sub(t.at)) / float64(tallyDecay))
	return tally{t.calls * f, t.failed * f, t.slow * f, now}
}

// add counts one call.
func (t *tally) add(now time.Time, failed, slow float64) {
	*t = t.aged(now)
	t.calls++
	t.failed += failed
	t.slow += slow
}

// observed returns what this VM itself observed of the leaf: the calls that ended and, as slow calls, those in
// flight that are already slow. The latter reveal a leaf that hangs about 400 ms before its calls are abandoned.
// Requires mu.
func (t *Table) observed(l *leaf, now time.Time) tally {
	sum := l.ownTally.aged(now)
	sum.failed = max(sum.failed, l.recentFailed.now(now)*sum.calls)
	for c := range l.inFlight {
		if r := t.routes[c.route]; r != nil && float64(now.Sub(c.sentAt)) > slowThreshold*c.queueFactor*float64(r.typical) {
			sum.calls++
			sum.slow++
		}
	}
	return sum
}

// rates returns the shares of failed and of slow calls as observed by this VM and the others. One additional
// successful call is assumed, so that a single bad call does not rule out a leaf. Requires mu.
func (t *Table) rates(l *leaf, now time.Time) (failed, slow float64) {
	sum := t.observed(l, now)
	for _, t := range l.peerTallies {
		if now.Sub(t.at) > peerTallyExpiry {
			continue
		}
		a := t.aged(now)
		sum.calls += a.calls
		sum.failed += a.failed
		sum.slow += a.slow
	}
	if sum.calls == 0 {
		return 0, 0
	}
	weight := min(sum.calls, maxTallyCalls) / (min(sum.calls, maxTallyCalls) + 1)
	return weight * sum.failed / sum.calls, weight * sum.slow / sum.calls
}

// Trouble is one VM's observation of a leaf with failed or slow calls. A VM that sends few calls to each leaf
// learns from the others which leaves to avoid.
type Trouble struct {
	Leaf catalog.LeafID
	// Calls, and the Failed and Slow ones among them, weighted by their age.
	Calls, Failed, Slow float64
}

// Troubles returns the leaves with failed or slow calls that this VM itself observed, the worst first.
func (t *Table) Troubles(now time.Time) []Trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Trouble
	for id, l := range t.leaves {
		if a := t.observedUsually(l, now); a.failed+a.slow >= minTroubleCalls {
			out = append(out, Trouble{id, a.calls, a.failed, a.slow})
		}
	}
	slices.SortFunc(out, func(a, b Trouble) int {
		if d := b.Failed + b.Slow - a.Failed - a.Slow; d != 0 {
			return int(math.Copysign(1, d))
		}
		return strings.Compare(a.Leaf.String(), b.Leaf.String())
	})
	return out[:min(maxTroubles, len(out))]
}

// RecordPeerTroubles stores the observations of another VM in place of its earlier ones.
func (t *Table) RecordPeerTroubles(vm string, list []Trouble, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tr := range list {
		l := t.leaves[tr.Leaf]
		if l == nil {
			continue // this VM has not called the leaf
		}
		if l.peerTallies == nil {
			l.peerTallies = make(map[string]tally)
		}
		if _, known := l.peerTallies[vm]; !known && len(l.peerTallies) >= maxPeerTallies {
			l.dropOldest()
		}
		l.peerTallies[vm] = tally{tr.Calls, tr.Failed, tr.Slow, now}
	}
}

// dropOldest drops the oldest peer tally.
func (l *leaf) dropOldest() {
	oldest := ""
	for vm, t := range l.peerTallies {
		if oldest == "" || t.at.Before(l.peerTallies[oldest].at) {
			oldest = vm
		}
	}
	delete(l.peerTallies, oldest)
}
