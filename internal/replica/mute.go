package replica

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// muteAfter is for how long a leaf gives no answer to any call until it counts as mute: twice its usual
	// pause of 200 ms.
	muteAfter = 400 * time.Millisecond
	// muteLeast is how many calls at least have stayed without an answer then, so that a single lost one isn't
	// taken for a mute leaf.
	muteLeast = 2
	// muteKeep is how long after its latest call a leaf counts as mute where none is in flight any more. Calls go
	// to one leaf of a shard after the other by their cost, and come back to it after a second or two.
	muteKeep = 3 * time.Second
)

// mute follows how long a leaf, and the way to it, has been without a sign of life while calls wait.
type mute struct {
	// calls begun since its latest answer, the first of them at since, the latest at latest.
	calls         int
	since, latest time.Time
}

func (m *mute) begin(now time.Time) {
	if m.calls == 0 {
		m.since = now
	}
	m.calls++
	m.latest = now
}

// end takes the end of a call. What fails soon has been answered, if only by a reset of its connection; what was
// given up, or failed by the silence of its connection, or found no way to the leaf or nothing that listens there,
// has not.
func (m *mute) end(r Result, took time.Duration) {
	switch {
	case r == OK, r == Refused, r == Failed && took < muteAfter:
		*m = mute{}
	case r == Neutral:
		m.calls = max(0, m.calls-1)
	}
}

// Mute returns for how long the leaf has given no sign of life while calls waited for one; 0 where it isn't
// taken for mute.
func (t *Table) Mute(id catalog.LeafID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaves[id]
	if l == nil {
		return 0
	}
	m := l.mute
	waited := now.Sub(m.since)
	if m.calls < muteLeast || waited < muteAfter || len(l.begun) == 0 && now.Sub(m.latest) > muteKeep {
		return 0
	}
	return waited
}
