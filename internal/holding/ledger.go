// Package holding bounds the memory that the process holds for peers that read or send slowly, and for requests in
// flight. Ledger and Places decide, with the time passed in; Keeper polls connections and closes those that Ledger
// names.
package holding

import "time"

const (
	// stallLimit is how long a caller may take or send no byte. What a caller takes is known only as its kernel
	// acknowledges it, in steps of half a receive buffer: on loopback, with steps of 100 KB and more, a caller that
	// reads 80 KB/s gets its whole answer, and one that reads 20 KB/s is closed.
	stallLimit = 5 * time.Second
	// minPace is the pace, in bytes per second, from which a connection does not count as slow.
	minPace = 64 << 10
	// slowShare is the fraction of the memory limit that may be held for slow connections, requestShare the one that
	// may be held for requests in flight.
	slowShare, requestShare = 1. / 4, 1. / 4
	// Bounds of a memory limit that is believed. The lower one is what the process needs without load.
	minMemoryBytes, maxMemoryBytes = 32 << 20, 1 << 40
)

// shareOf returns the fraction of the memory limit, which is corrected if it is absurd.
func shareOf(fraction float64, memoryBytes int64) int64 {
	return int64(fraction * float64(min(max(memoryBytes, minMemoryBytes), maxMemoryBytes)))
}

// Peer is the kind of peer at the other end of a connection.
type Peer string

// Peers.
const (
	// Caller is a caller that takes an answer or sends the body of a request.
	Caller Peer = "caller"
	// Leaf is a leaf that sends an answer. How long it may send nothing is up to the deadline of its call.
	Leaf Peer = "leaf"
)

// ID names a connection in a Ledger.
type ID uint64

// Ledger counts the bytes held for connections, and names the connections to be closed. It is not safe for concurrent
// use.
type Ledger struct {
	limit   int64
	total   int64
	lastID  ID
	entries map[ID]*entry
}

// entry is a connection for which bytes are held.
type entry struct {
	peer Peer
	// held is the number of bytes held now, and moved the number that the peer has taken or sent so far.
	held, moved int64
	// openedAt is when the first byte was held, and movedAt when the latest byte moved.
	openedAt, movedAt time.Time
}

// NewLedger returns an empty ledger for a process with the given memory limit.
func NewLedger(memoryBytes int64) *Ledger {
	return &Ledger{limit: shareOf(slowShare, memoryBytes), entries: make(map[ID]*entry)}
}

// Add adds a connection for which bytes are held.
func (l *Ledger) Add(now time.Time, p Peer, held int64) ID {
	l.lastID++
	e := &entry{peer: p, held: max(held, 0), openedAt: now, movedAt: now}
	l.entries[l.lastID] = e
	l.total += e.held
	return l.lastID
}

// Update sets how many bytes are held for the connection, and how many its peer has taken or sent so far.
func (l *Ledger) Update(now time.Time, id ID, held, moved int64) {
	e := l.entries[id]
	if e == nil {
		return
	}
	held = max(held, 0)
	l.total += held - e.held
	e.held = held
	if moved > e.moved {
		e.moved, e.movedAt = moved, now
	}
}

// Remove removes the connection.
func (l *Ledger) Remove(id ID) {
	if e := l.entries[id]; e != nil {
		l.total -= e.held
		delete(l.entries, id)
	}
}

// Held returns the number of bytes held, and Limit how many may be.
func (l *Ledger) Held() int64 { return l.total }

// Limit returns how many bytes may be held.
func (l *Ledger) Limit() int64 { return l.limit }

// Expel removes and returns the connections to be closed: callers that have stalled and, while too much is held, the
// connection that is furthest behind minPace.
func (l *Ledger) Expel(now time.Time) []ID {
	var out []ID
	for id, e := range l.entries {
		if e.peer == Caller && e.held > 0 && now.Sub(e.movedAt) >= stallLimit {
			out = append(out, id)
		}
	}
	for _, id := range out {
		l.Remove(id)
	}
	for l.total > l.limit {
		id := l.slowest(now)
		out = append(out, id)
		l.Remove(id)
	}
	return out
}

// slowest returns the connection that is furthest behind; of several, the one that was added first.
func (l *Ledger) slowest(now time.Time) ID {
	var slowest ID
	var most time.Duration
	for id, e := range l.entries {
		if e.held == 0 {
			continue
		}
		if b := e.behind(now); slowest == 0 || b > most || b == most && id < slowest {
			slowest, most = id, b
		}
	}
	return slowest
}

// behind returns how much longer the connection has taken than at minPace.
func (e *entry) behind(now time.Time) time.Duration {
	return now.Sub(e.openedAt) - time.Duration(float64(e.moved)/minPace*float64(time.Second))
}
