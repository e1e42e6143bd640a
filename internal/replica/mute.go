package replica

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// unresponsiveAfter is for how long a leaf gives no answer to any call until it counts as mute: twice its usual
	// pause of 200 ms.
	unresponsiveAfter = 400 * time.Millisecond
	// unresponsiveMinCalls is how many calls at least have stayed without an answer then, so that a single lost one isn't
	// taken for a mute leaf.
	unresponsiveMinCalls = 2
	// unresponsiveKeep is how long after its latest call a leaf counts as mute where none is in flight any more. Calls go
	// to one leaf of a shard after the other by their cost, and come back to it after a second or two.
	unresponsiveKeep = 3 * time.Second
)

// silence follows how long a leaf, and the way to it, has been without a sign of life while calls wait.
type silence struct {
	// calls begun since its latest answer, the first of them at since, the latest at latest.
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

// end takes the end of a call. What fails soon has been answered, if only by a reset of its connection; what was
// given up, or failed by the silence of its connection, or found no way to the leaf or nothing that listens there,
// has not.
func (s *silence) end(r Result, elapsed time.Duration) {
	switch {
	case r == OK, r == Refused, r == Failed && elapsed < unresponsiveAfter:
		*s = silence{}
	case r == Neutral:
		s.calls = max(0, s.calls-1)
	}
}

// UnresponsiveFor returns for how long the leaf has given no sign of life while calls waited for one; 0 where it isn't
// taken for mute.
func (t *Table) UnresponsiveFor(id catalog.LeafID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaves[id]
	if l == nil {
		return 0
	}
	s := l.silence
	waited := now.Sub(s.since)
	if s.calls < unresponsiveMinCalls || waited < unresponsiveAfter || len(l.inFlight) == 0 && now.Sub(s.latest) > unresponsiveKeep {
		return 0
	}
	return waited
}
