package upstream

import (
	"context"
	"errors"
	"time"
)

// Timing of the detection of silent connections.
const (
	// busyPingAfter is how long a connection may be silent after a call was sent before it is
	// pinged.
	busyPingAfter = 200 * time.Millisecond
	// idlePingAfter is how long any connection may be silent before it is pinged. A silent
	// connection is thus detected before a call needs it, and within a second of the start of its
	// silence, whenever the first call comes.
	idlePingAfter = 400 * time.Millisecond
	// pingTimeout is how long a ping may stay unanswered.
	pingTimeout = 300 * time.Millisecond
	// maxPingTimerDelay is how late a ping's own timer may fire. A later timer means that this
	// process was paused, and the unanswered ping proves nothing.
	maxPingTimerDelay = 100 * time.Millisecond
	// maxUnverifiedAge is how recently a connection must have been heard from to take an order
	// without a ping.
	maxUnverifiedAge = 50 * time.Millisecond
)

// errSilent ends calls on a connection that gave no sign of life.
var errSilent = errors.New("connection went silent")

// retireReason is why a connection is out of use.
type retireReason string

// The reasons to retire a connection; they are also metric labels.
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

	// incarnation that answered on the connection, 0 if it is unknown.
	incarnation uint64
	inFlight    int
	// orders is how many of the calls in flight are orders.
	orders int
	// unansweredSince is when the first call after the last received byte was sent.
	unansweredSince time.Time
	// pinging is set while a ping is unanswered; it was sent at pingedAt.
	pinging  bool
	pingedAt time.Time
	// suspectAt is when another connection to the leaf was last pinged without an answer. This
	// connection is suspect until a byte arrives on it after that time.
	suspectAt time.Time
	// retired is set once. No call is sent afterwards.
	retired retireReason
	// foundSilent is true after the connection was found silent; the channel silent is closed then.
	foundSilent bool
	silent      chan struct{}
	// goAwayRecorded is true after a GOAWAY on the connection was recorded as evidence of
	// departure.
	goAwayRecorded bool
}

// usable reports whether a new call may be sent. Requires leaf.mu.
func (c *conn) usable() bool {
	return c.retired == retireNone && !c.suspect() && c.tcp.usable() && c.h2.CanTakeNewRequest()
}

// suspect reports whether the connection has yet to show a sign of life. Requires leaf.mu.
func (c *conn) suspect() bool { return !c.suspectAt.IsZero() && !c.tcp.lastHeard().After(c.suspectAt) }

// begin counts a call. Requires leaf.mu.
func (c *conn) begin(now time.Time) {
	c.inFlight++
	if !c.unansweredSince.After(c.tcp.lastHeard()) {
		c.unansweredSince = now
	}
}

// needsPing reports whether the connection has been silent for so long that it must be pinged.
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

// probe pings the connection, and takes it out of use if no answer comes within the limit. It returns
// whether the connection is known to be alive.
func (c *conn) probe(ctx context.Context, limit time.Duration) bool {
	start := time.Now()
	pctx, cancel := context.WithTimeout(ctx, limit)
	err := c.h2.Ping(pctx)
	cancel()
	elapsed := time.Since(start)
	if err == nil || c.tcp.lastHeard().After(start) {
		return true
	}
	if ctx.Err() != nil || elapsed > limit+maxPingTimerDelay {
		return false
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.leaf.markSilent(c, start)
	}
	return false
}
