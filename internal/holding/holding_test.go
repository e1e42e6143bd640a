package holding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const mb = 1 << 20

// Guards against a steady caller being closed in place of a slower one when too much is held.
func TestSlowestConnectionIsClosedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := NewLedger(64 * mb) // of which 16 MB may be held
	slow := l.Add(now, Caller, 6*mb)
	steady := l.Add(now, Caller, 6*mb)
	now = now.Add(4 * time.Second)
	l.Update(now, slow, 6*mb-1000, 1000)
	l.Update(now, steady, 5*mb, mb)
	is.Equal(len(l.Expel(now)), 0)
	leaf := l.Add(now, Leaf, 8*mb)
	is.Equal(l.Expel(now), []ID{slow})
	is.Equal(l.Held(), int64(13*mb))
	l.Remove(leaf)
	l.Remove(leaf)
	is.Equal(l.Held(), int64(5*mb))
}

// Guards against a caller that takes nothing holding its answer for as long as there is memory, and against one that
// takes little being closed.
func TestStalledCallerIsClosed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := NewLedger(64 * mb)
	stalled, slow, leaf := l.Add(now, Caller, mb), l.Add(now, Caller, mb), l.Add(now, Leaf, mb)
	for i := range 9 {
		now = now.Add(time.Second)
		l.Update(now, stalled, mb, 0)
		l.Update(now, slow, mb-int64(i+1), int64(i+1))
		l.Update(now, leaf, mb, mb)
		closed := l.Expel(now)
		is.Equal(len(closed) == 1 && closed[0] == stalled, i == 4) // after 5 s, and only then
	}
}

// Guards against an absurd memory limit opening or closing the gate.
func TestAbsurdMemoryLimits(t *testing.T) {
	is := is.New(t)
	for _, limit := range []int64{0, -1, 1, -1 << 63, 1<<63 - 1} {
		l, p := NewLedger(limit), NewPlaces(limit)
		is.True(l.Limit() >= 8*mb && l.Limit() <= 1<<38)
		id := l.Add(time.Now(), Caller, -5)
		l.Update(time.Now(), id, -1, -1)
		is.Equal(l.Held(), int64(0))
		ok, _ := p.Take(time.Now(), requestBytes(true, 1<<62))
		is.True(ok) // nothing else is held
		ok, _ = p.Take(time.Now(), requestBytes(true, -1))
		is.True(!ok || limit > mb)
	}
}

// Guards against more requests than the memory can hold, and against all refused callers returning at once.
func TestRequestsAreBoundedByMemory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := NewPlaces(64 * mb) // of which 16 MB are for requests
	admitted := 0
	for ok, _ := p.Take(now, requestBytes(true, 0)); ok; ok, _ = p.Take(now, requestBytes(true, 0)) {
		admitted++
	}
	is.Equal(admitted, 16*mb/searchBytes)
	last := time.Duration(0)
	for range admitted {
		ok, after := p.Take(now, requestBytes(true, 0))
		is.True(!ok && after > last && after <= maxRetryAfter)
		last = after
	}
	is.True(last > initialHold && last < 3*initialHold)
	p.Release(requestBytes(true, 0), time.Second)
	ok, _ := p.Take(now, requestBytes(false, 1000))
	is.True(ok)
}

// fakeConn is a connection for which a fixed number of bytes is held.
type fakeConn struct {
	held   int64
	ended  bool
	closed bool
}

func (f *fakeConn) Progress() (int64, int64, bool) { return f.held, 0, !f.ended }
func (f *fakeConn) Close()                         { f.closed = true }

// Guards against the memory bound being enforced only at the next poll.
func TestKeeperEnforcesTheBoundAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := NewKeeper(64*mb, func() time.Time { return now })
	ended := &fakeConn{held: 10 * mb}
	k.HoldCaller(ended)
	ended.ended = true
	first, second := &fakeConn{held: 10 * mb}, &fakeConn{held: 10 * mb}
	release := k.HoldCaller(first)
	is.True(!first.closed && !ended.closed) // what has ended no longer counts
	now = now.Add(time.Second)
	k.HoldLeaf(second)
	is.True(first.closed && !second.closed)
	release() // has no effect
	is.Equal(k.ledger.Held(), int64(10*mb))
}
