package membudget

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// clock is a clock that stands still until it is moved.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// evicted counts the evictions of one holder.
type evicted struct{ n int }

func (e *evicted) evict() { e.n++ }

func newTest(limit int64) (*Budget, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return New(limit, c.now), c
}

// Bodies that stopped short held the memory until their timeout, and those that went on were refused.
func TestStalledHoldersMakeWay(t *testing.T) {
	is := is.New(t)
	b, c := newTest(100)
	var stalled, moving evicted
	s, m := b.Hold(stalled.evict), b.Hold(moving.evict)
	is.True(s.Grow(60))
	is.True(m.Grow(40))
	c.at = c.at.Add(stallTimeout + time.Millisecond)
	m.Progress(stallBytes)
	newest := b.Hold(func() {})
	is.True(newest.Grow(50))
	is.Equal(stalled.n, 1)
	is.Equal(moving.n, 0)
	is.True(!s.Grow(1)) // its bytes are gone
	is.True(!s.Work())
	is.Equal(b.Usage().Used, int64(90))
	s.Release()
	is.Equal(b.Usage().Used, int64(90))
}

// A caller that sends a byte now and then kept its place like one that goes on.
func TestSlowHoldersCountAsStalled(t *testing.T) {
	is := is.New(t)
	b, c := newTest(100)
	var slow evicted
	s := b.Hold(slow.evict)
	is.True(s.Grow(100))
	for range 10 {
		c.at = c.at.Add(stallTimeout / 5)
		s.Progress(1)
	}
	is.True(b.Hold(func() {}).Grow(1))
	is.Equal(slow.n, 1)
}

// Where many bodies grow at the same time and none stalls, those that are further along are finished: if each refused the others, none was.
func TestSmallerHoldersMakeWay(t *testing.T) {
	is := is.New(t)
	b, _ := newTest(100)
	var small evicted
	s, l := b.Hold(small.evict), b.Hold(func() {})
	is.True(s.Grow(30))
	is.True(l.Grow(60))
	is.True(!s.Grow(20)) // the larger one keeps its place
	is.True(l.Grow(30))
	is.Equal(small.n, 1)
	is.Equal(b.Usage().Refused, int64(1))
}

// What the process works on is not taken away: a request that has been sent to a leaf may have run.
func TestWorkIsNotEvicted(t *testing.T) {
	is := is.New(t)
	b, c := newTest(100)
	var working evicted
	w := b.Hold(working.evict)
	is.True(w.Grow(90))
	is.True(w.Work())
	c.at = c.at.Add(time.Hour)
	other := b.Hold(func() {})
	is.True(!other.Grow(20))
	is.Equal(working.n, 0)
	w.Release()
	is.True(other.Grow(20))
}

// A single request that takes more than the whole budget is served where there is no other.
func TestAHolderAloneGetsWhatItNeeds(t *testing.T) {
	is := is.New(t)
	b, _ := newTest(100)
	h := b.Hold(func() {})
	is.True(h.Grow(80))
	is.True(h.Grow(80))
	is.True(!b.Hold(func() {}).Grow(1))
	h.Release()
	is.Equal(b.Usage().Used, int64(0))
	is.Equal(b.Usage().Peak, int64(160))
}

// Answers are held whether there is room or not. The caller that has waited longest to take one makes way.
func TestHeldBytesEvictTheOldestWait(t *testing.T) {
	is := is.New(t)
	b, c := newTest(100)
	var first, second evicted
	b.Hold(first.evict).Add(50)
	c.at = c.at.Add(time.Millisecond)
	b.Hold(second.evict).Add(50)
	b.Hold(func() {}).Add(50)
	is.Equal(first.n, 1)
	is.Equal(second.n, 0)
	is.Equal(b.Usage().Used, int64(100))
}

// Holders of many goroutines never hold more than the limit together, and give all of it back.
func TestConcurrentHoldersStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	b := New(1000, time.Now)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 200 {
				h := b.Hold(func() {})
				h.Grow(10)
				h.Progress(10)
				h.Grow(30)
				h.Work()
				h.Release()
			}
		})
	}
	all.Wait()
	u := b.Usage()
	is.True(u.Peak <= 1000)
	is.Equal(u.Used, int64(0))
	is.Equal(u.Holders, 0)
}

// Bodies that all need more than there is waited for each other until their deadlines. The one that holds most, or began first, goes
// on, and the others make way or wait for its end.
func TestThoseThatWaitForBytesDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	b := New(100, time.Now)
	var later evicted
	first, second := b.Hold(func() {}), b.Hold(later.evict)
	is.True(first.Grow(50))
	is.True(second.Grow(50))
	waiting := make(chan bool)
	go func() { waiting <- second.AwaitGrow(t.Context(), 50) }()
	time.Sleep(20 * time.Millisecond)
	is.True(first.AwaitGrow(t.Context(), 50))
	is.Equal(later.n, 1)
	is.True(!<-waiting)
	third := b.Hold(func() {})
	go func() { waiting <- third.AwaitGrow(t.Context(), 50) }()
	time.Sleep(20 * time.Millisecond)
	first.Release()
	is.True(<-waiting)
}

// A holder that waits for bytes is not stalled: its other end is not asked for more.
func TestHoldersThatWaitForBytesDoNotStall(t *testing.T) {
	is := is.New(t)
	b := New(100, time.Now)
	var waits evicted
	w, other := b.Hold(waits.evict), b.Hold(func() {})
	is.True(w.Grow(60))
	is.True(other.Grow(40))
	other.Work()
	ctx, cancel := context.WithTimeout(t.Context(), 2*stallTimeout)
	defer cancel()
	is.True(!w.AwaitGrow(ctx, 10))
	is.True(!b.Hold(func() {}).Grow(10))
	is.Equal(waits.n, 0)
}

// The bytes of a reader are the same with any limit that suffices, whether their number is announced or not.
func TestReadAll(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 1000)
	for name, tt := range map[string]struct {
		declared, limit, memory int64
		err                     error
	}{
		"announced":       {10000, 10000, 20000, nil},
		"not announced":   {-1, 10000, 20000, nil},
		"longer":          {-1, 9999, 20000, ErrTooLong},
		"without memory":  {-1, 10000, 5000, ErrNoMemory},
		"fewer announced": {3, 10000, 20000, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(tt.memory, time.Now)
			other := b.Hold(func() {}) // it is not alone
			is.True(other.Grow(1))
			is.True(other.Work())
			h := b.Hold(func() {})
			got, err := h.ReadAll(iotest.OneByteReader(bytes.NewReader(data)), tt.declared, tt.limit, 1000)
			is.Equal(err, tt.err)
			if tt.err == nil {
				is.Equal(got, data)
			}
			h.Release()
			is.Equal(b.Usage().Used, int64(1))
		})
	}
}
