package replica

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// unresponsiveAfter is how long a leaf answers no call before it counts as unresponsive: twice its typical
	// pause of 200 ms.
	unresponsiveAfter = 400 * time.Millisecond
	// unresponsiveMinCalls is the minimum number of unanswered calls, so that a single lost call does not make a
	// leaf unresponsive.
	unresponsiveMinCalls = 2
	// unresponsiveKeep is how long after its latest call a leaf without calls in flight still counts as
	// unresponsive. Calls go to the leaves of a shard in turn by cost and return to a leaf after a second or two.
	unresponsiveKeep = 3 * time.Second
)

// silence tracks how long a leaf, or the network path to it, has not responded while calls wait.
type silence struct {
	// calls counts the calls sent since the latest response; the first was sent at since, the latest at latest.
	calls         int
	since, latest time.Time
}

func (s *silence) begin(now time.Time) {
	if s.calls == 0 {
		s.since = now
	}
	s.calls++
	s.latest = now
}

// end updates the state with the end of a call. A call that fails quickly counts as a response, even if it is only
// a reset of its connection. A call that was abandoned, that failed because its connection went silent, or that
// found no path to the leaf or no listener at its address does not.
func (s *silence) end(r Result, elapsed time.Duration) {
	switch {
	case r == OK, r == Refused, r == Failed && elapsed < unresponsiveAfter:
		*s = silence{}
	case r == Neutral:
		s.calls = max(0, s.calls-1)
	}
}

// UnresponsiveFor returns how long the leaf has not responded while calls waited for it; 0 if it does not count as
// unresponsive.
func (t *Table) UnresponsiveFor(id catalog.LeafID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.leaves[id]; l != nil {
		return l.unresponsiveFor(now)
	}
	return 0
}

func (l *leaf) unresponsiveFor(now time.Time) time.Duration {
	s := l.silence
	waited := now.Sub(s.since)
	if s.calls < unresponsiveMinCalls || waited < unresponsiveAfter || len(l.inFlight) == 0 && now.Sub(s.latest) > unresponsiveKeep {
		return 0
	}
	return waited
}
