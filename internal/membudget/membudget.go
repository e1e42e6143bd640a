// Package membudget bounds the bytes that a process holds for the other ends of its connections, such as bodies that are still
// arriving and answers that are still being taken. It counts bytes and not requests, so that many small ones and a few
// large ones are bounded alike. When a budget is used up, holders whose other end makes no progress are evicted first.
package membudget

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTimeout is how long a holder may take for stallBytes before it counts as stalled. A body that goes on more slowly
	// keeps its place only while nothing else needs it.
	stallTimeout = 500 * time.Millisecond
	stallBytes   = 16 << 10
	// maxInspected bounds the holders that are compared to find one to evict, so that a refusal costs the same however many
	// there are.
	maxInspected = 64
)

// Budget is a number of bytes that holders share. It is safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu sync.Mutex
	// The fields below are guarded by mu. used is the sum of the holders' bytes.
	limit, used, peak int64
	holders           map[*Holder]struct{}
	// begun, evicted and refused count holders over all time.
	begun, evicted, refused int64
	// freed is closed when bytes are given back; nil while nobody waits for them.
	freed chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64, now func() time.Time) *Budget {
	return &Budget{now: now, limit: limit, holders: make(map[*Holder]struct{})}
}

// SetLimit changes the limit. Holders keep what they have.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.wake()
}

// Usage is the state of a budget. All fields but the last three are in bytes.
type Usage struct {
	Used int64 `json:"used"`
	// Peak is the highest Used so far.
	Peak  int64 `json:"peak"`
	Limit int64 `json:"limit"`
	// Holders is the number of holders now, Evicted and Refused count those that were evicted, or got no more bytes.
	Holders int   `json:"holders"`
	Evicted int64 `json:"evicted"`
	Refused int64 `json:"refused"`
}

// Usage returns the present state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Used: b.used, Peak: b.peak, Limit: b.limit, Holders: len(b.holders), Evicted: b.evicted, Refused: b.refused}
}

// Holder holds bytes of a budget.
type Holder struct {
	budget *Budget
	// evict is called without locks once the holder's bytes are given to others.
	evict func()

	// The fields below are guarded by budget.mu.
	bytes int64
	// waits is set while the other end is waited for. A holder that the process itself works on is not evicted.
	waits, isEvicted bool
	// queued is set while the holder waits for more bytes of the budget, and not for its other end.
	queued bool
	// number counts the holders in the order in which they began.
	number int64
	// moved counts the bytes that the other end has sent or taken since mark.
	moved int64
	mark  time.Time
}

// Hold returns a holder without bytes that waits for its other end. evict is called at most once, from any goroutine, and must
// not wait.
func (b *Budget) Hold(evict func()) *Holder {
	h := &Holder{budget: b, evict: evict, waits: true, mark: b.now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun++
	h.number = b.begun
	b.holders[h] = struct{}{}
	return h
}

// Grow takes n more bytes and reports whether they may be held. Stalled holders make way, and then those that hold less than
// this one, or as much and began later. A holder that is alone gets what it needs.
func (h *Holder) Grow(n int64) bool { return h.take(n, false) }

// AwaitGrow is like Grow, and waits until there are n more bytes. It returns false when ctx ends or the holder is evicted. As the
// holder that holds most never waits for others that wait too, one of them goes on at any time.
func (h *Holder) AwaitGrow(ctx context.Context, n int64) bool {
	for !h.Grow(n) {
		freed, ok := h.queue()
		if !ok {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-freed:
		case <-time.After(stallTimeout): // others may have stalled
		}
	}
	h.leaveQueue()
	return true
}

// queue marks the holder as waiting for bytes and returns a channel that is closed when some are given back. It returns false if
// the holder is evicted.
func (h *Holder) queue() (freed <-chan struct{}, ok bool) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.queued = true
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, !h.isEvicted
}

// leaveQueue marks the holder as waiting for its other end again.
func (h *Holder) leaveQueue() {
	now := h.budget.now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.queued {
		h.queued, h.moved, h.mark = false, 0, now
	}
}

// Add takes n bytes that are held already. Others that wait make way for them, also where they go on.
func (h *Holder) Add(n int64) { h.take(n, true) }

func (h *Holder) take(n int64, held bool) bool {
	b := h.budget
	b.mu.Lock()
	if h.isEvicted {
		b.mu.Unlock()
		return false
	}
	victims := b.makeRoom(h, n, held)
	ok := held || b.used+n <= b.limit || b.used == h.bytes
	if ok {
		h.bytes += n
		b.used += n
		b.peak = max(b.peak, b.used)
	} else {
		b.refused++
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return ok
}

// makeRoom evicts holders until n more bytes for h fit, and returns those that it evicted. If the bytes are held already,
// any holder that waits may be evicted. The caller holds mu.
func (b *Budget) makeRoom(h *Holder, n int64, held bool) []*Holder {
	var victims []*Holder
	for now := b.now(); b.used+n > b.limit; {
		v := b.victim(h, now, held)
		if v == nil {
			break
		}
		v.isEvicted = true
		b.evicted++
		b.remove(v)
		victims = append(victims, v)
	}
	return victims
}

// victim returns the holder to evict for h, or nil. The caller holds mu.
func (b *Budget) victim(h *Holder, now time.Time, anyWaiting bool) *Holder {
	var stalled, smaller, oldest *Holder
	inspected := 0
	for o := range b.holders {
		if inspected++; inspected > maxInspected {
			break
		}
		if o == h || !o.waits || o.bytes == 0 {
			continue
		}
		if !o.queued && now.Sub(o.mark) > stallTimeout && (stalled == nil || o.bytes > stalled.bytes) {
			stalled = o
		}
		if o.before(h) && (smaller == nil || o.before(smaller)) {
			smaller = o
		}
		if oldest == nil || o.mark.Before(oldest.mark) {
			oldest = o
		}
	}
	switch {
	case stalled != nil:
		return stalled
	case smaller != nil:
		return smaller
	case anyWaiting:
		return oldest
	}
	return nil
}

// before reports whether the holder makes way for o where neither stalls.
func (h *Holder) before(o *Holder) bool {
	if h.bytes != o.bytes {
		return h.bytes < o.bytes
	}
	return h.number > o.number
}

// Progress records that the other end has sent or taken n bytes.
func (h *Holder) Progress(n int64) {
	now := h.budget.now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.moved += n; h.moved >= stallBytes {
		h.moved, h.mark = 0, now
	}
}

// Work records that the other end has sent all and the process works on it, and reports whether the holder still has its bytes. It is not
// evicted from then on.
func (h *Holder) Work() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.waits = false
	return !h.isEvicted
}

// Release gives back all bytes of the holder, which must not be used again.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.isEvicted {
		h.budget.remove(h)
	}
}

// remove gives back the bytes of a holder. The caller holds mu.
func (b *Budget) remove(h *Holder) {
	delete(b.holders, h)
	b.used -= h.bytes
	h.bytes = 0
	b.wake()
}

// wake wakes those that wait for bytes. The caller holds mu.
func (b *Budget) wake() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
