package upstream

import (
	"context"
	"errors"
	"time"
)

// How a connection's silence is judged.
const (
	// busyPingAfter is how long a connection may be silent after a call was sent before it is pinged.
	busyPingAfter = 200 * time.Millisecond
	// idlePingAfter is how long any connection may be silent before it is pinged, so that it is found
	// silent before a call needs it, and within a second of its silence whenever the first call comes.
	idlePingAfter = 400 * time.Millisecond
	// pingTimeout is how long a ping may stay without an answer.
	pingTimeout = 300 * time.Millisecond
	// maxPingTimerDelay is by how much a ping's own timer may be late before the process itself must have
	// been paused; such a ping proves nothing.
	maxPingTimerDelay = 100 * time.Millisecond
	// maxUnverifiedAge is how lately a connection must have been heard of to take an order unasked.
	maxUnverifiedAge = 50 * time.Millisecond
)

// errSilent ends calls on a connection that gave no sign of life.
var errSilent = errors.New("connection went silent")

// retireReason is why a connection is out of use.
type retireReason string

// The fates of a connection; they are labels of a metric too.
const (
	retireNone   retireReason = ""
	retireSilent retireReason = "silent"
	retireLost   retireReason = "lost"
	retireGoAway retireReason = "goaway"
	retireByPool retireReason = "retired"
	retireClosed retireReason = "closed"
)

// conn is one connection to a leaf.
type conn struct {
	leaf   *leaf
	tcp    *trackedConn
	h2     h2Conn
	opened time.Time

	// The rest is guarded by leaf.mu.

	// incarnation that answered on it, 0 where it did not say.
	incarnation uint64
	inFlight    int
	// orders is how many of the calls in flight are orders.
	orders int
	// unansweredSince is when the first call after the last byte heard was sent.
	unansweredSince time.Time
	pinging         bool
	// suspectAt is when another connection to the leaf was last pinged in vain; this one has to be heard
	// of since.
	suspectAt time.Time
	// retired is set once; no call is sent from then on.
	retired retireReason
	// foundSilent is true once the connection gave no sign of life; silent is closed then.
	foundSilent bool
	silent      chan struct{}
	// goAwayRecorded is true once a GOAWAY on it was taken in as evidence.
	goAwayRecorded bool
}

// usable tells whether a new call may be sent. Requires leaf.mu.
func (c *conn) usable() bool {
	return c.retired == retireNone && !c.suspect() && c.tcp.usable() && c.h2.CanTakeNewRequest()
}

// suspect tells whether the connection has yet to show that it lives. Requires leaf.mu.
func (c *conn) suspect() bool { return !c.suspectAt.IsZero() && !c.tcp.lastHeard().After(c.suspectAt) }

// begin counts a call. Requires leaf.mu.
func (c *conn) begin(now time.Time) {
	c.inFlight++
	if !c.unansweredSince.After(c.tcp.lastHeard()) {
		c.unansweredSince = now
	}
}

// needsPing tells whether the connection has been silent for so long that it has to be pinged.
// Requires leaf.mu.
func (c *conn) needsPing(now time.Time) bool {
	heard := c.tcp.lastHeard()
	switch {
	case c.suspect(), now.Sub(heard) >= idlePingAfter:
		return true
	case c.unansweredSince.After(heard):
		return now.Sub(c.unansweredSince) >= busyPingAfter
	}
	return c.inFlight > 0 && now.Sub(heard) >= busyPingAfter
}

// probe pings the connection, and takes it out of use where no answer comes. It returns whether the
// connection is known to live.
func (c *conn) probe(ctx context.Context) bool {
	start := time.Now()
	pctx, cancel := context.WithTimeout(ctx, pingTimeout)
	err := c.h2.Ping(pctx)
	cancel()
	elapsed := time.Since(start)
	if err == nil || c.tcp.lastHeard().After(start) {
		return true
	}
	if ctx.Err() != nil || elapsed > pingTimeout+maxPingTimerDelay {
		return false
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.leaf.markSilent(c, start)
	}
	return false
}
