package upstream

import (
	"context"
	"errors"
	"time"
)

// How a connection's silence is judged.
const (
	// quietBusy is how long a connection may be silent after a call was sent before it is pinged.
	quietBusy = 200 * time.Millisecond
	// quietIdle is how long any connection may be silent before it is pinged, so that it is found
	// silent before a call needs it, and within a second of its silence whenever the first call comes.
	quietIdle = 400 * time.Millisecond
	// pingLimit is how long a ping may stay without an answer.
	pingLimit = 300 * time.Millisecond
	// pingSlack is by how much a ping's own timer may be late before the process itself must have
	// been paused; such a ping proves nothing.
	pingSlack = 100 * time.Millisecond
	// freshEnough is how lately a connection must have been heard of to take an order unasked.
	freshEnough = 50 * time.Millisecond
)

// errSilent ends calls on a connection that gave no sign of life.
var errSilent = errors.New("connection went silent")

// fate is why a connection is out of use.
type fate string

// The fates of a connection; they are labels of a metric too.
const (
	fateNone    fate = ""
	fateSilent  fate = "silent"
	fateLost    fate = "lost"
	fateGoAway  fate = "goaway"
	fateRetired fate = "retired"
	fateClosed  fate = "closed"
)

// conn is one connection to a leaf.
type conn struct {
	leaf   *leaf
	wire   *wire
	h2     h2Conn
	opened time.Time

	// The rest is guarded by leaf.mu.

	// incarnation that answered on it, 0 where it did not say.
	incarnation uint64
	inFlight    int
	// orders is how many of the calls in flight are orders.
	orders int
	// asked is when the first call after the last byte heard was sent.
	asked   time.Time
	pinging bool
	// doubted is when another connection to the leaf was last pinged in vain; this one has to be heard
	// of since.
	doubted time.Time
	// fate is set once; no call is sent from then on.
	fate fate
	// silenced is true once the connection gave no sign of life; silent is closed then.
	silenced bool
	silent   chan struct{}
	// departed is true once a GOAWAY on it was taken in as evidence.
	departed bool
}

// usable tells whether a new call may be sent. Requires leaf.mu.
func (c *conn) usable() bool {
	return c.fate == fateNone && !c.doubtful() && c.wire.usable() && c.h2.CanTakeNewRequest()
}

// doubtful tells whether the connection has yet to show that it lives. Requires leaf.mu.
func (c *conn) doubtful() bool { return !c.doubted.IsZero() && !c.wire.heard().After(c.doubted) }

// begin counts a call. Requires leaf.mu.
func (c *conn) begin(now time.Time) {
	c.inFlight++
	if !c.asked.After(c.wire.heard()) {
		c.asked = now
	}
}

// owesSign tells whether the connection has been silent for so long that it has to be pinged.
// Requires leaf.mu.
func (c *conn) owesSign(now time.Time) bool {
	heard := c.wire.heard()
	switch {
	case c.doubtful(), now.Sub(heard) >= quietIdle:
		return true
	case c.asked.After(heard):
		return now.Sub(c.asked) >= quietBusy
	}
	return c.inFlight > 0 && now.Sub(heard) >= quietBusy
}

// probe pings the connection, and takes it out of use where no answer comes. It returns whether the
// connection is known to live.
func (c *conn) probe(ctx context.Context) bool {
	start := time.Now()
	pctx, cancel := context.WithTimeout(ctx, pingLimit)
	err := c.h2.Ping(pctx)
	cancel()
	took := time.Since(start)
	if err == nil || c.wire.heard().After(start) {
		return true
	}
	if ctx.Err() != nil || took > pingLimit+pingSlack {
		return false
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.leaf.silence(c, start)
	}
	return false
}
