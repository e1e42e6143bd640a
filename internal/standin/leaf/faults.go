package leaf

import (
	"slices"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Faults are what a leaf does wrong. The zero value is none; a PUT replaces all of them.
type Faults struct {
	// Drain refuses new work as draining and says GOAWAY on open connections. Clearing Drain or
	// Down counts as a restart: a new incarnation and a cold start.
	Drain bool `json:"drain"`
	// DrainTo tells only callers at these IP numbers that the leaf drains, by refusals and in its
	// status; others are served on. Clearing it counts as a restart too.
	DrainTo []string `json:"drain_to"`
	// Down refuses connections and resets open ones, as for a leaf that is gone.
	Down bool `json:"down"`
	// SlowFactor multiplies the service time of SlowShare (0 to 1) of the calls; below or at 1 it
	// is off. SlowShare 0 is all calls.
	SlowFactor float64 `json:"slow_factor"`
	SlowShare  float64 `json:"slow_share"`
	// Shed refuses every call as shed.
	Shed bool `json:"shed"`
	// Report is told in place of the true load.
	Report *Report `json:"report,omitempty"`
	// CrashMark crashes the leaf at a search or order whose text contains it.
	CrashMark string `json:"crash_mark"`
	// WrongShard and WrongSnapshot answer for another one than asked.
	WrongShard    bool `json:"wrong_shard"`
	WrongSnapshot bool `json:"wrong_snapshot"`
	// MixedShare is the share of searches, 0 to 1, that get the answer to an earlier search.
	MixedShare float64 `json:"mixed_share"`
	// ErrorShare is the share of calls, 0 to 1, that end with an error; orders before their effect.
	ErrorShare float64 `json:"error_share"`
	// ErrorAfterExecute answers orders with an error after their effect.
	ErrorAfterExecute bool `json:"error_after_execute"`
	// Stall accepts calls and never answers them.
	Stall bool `json:"stall"`
	// Empty answers searches without hits.
	Empty bool `json:"empty"`
	// HitBytes pads the text of each hit to more bytes than the settings say.
	HitBytes int `json:"hit_bytes"`
	// RefuseConnections refuses new connections; open ones stay.
	RefuseConnections bool `json:"refuse_connections"`
	// HoldExecute is a wait between an order's effect and its answer.
	HoldExecute settings.Duration `json:"hold_execute"`
	// RefuseSnapshot refuses searches as if their index version was gone.
	RefuseSnapshot bool `json:"refuse_snapshot"`
}

// Report is a load report that hides the true load.
type Report struct {
	Utilisation float64 `json:"utilisation"`
	InFlight    uint32  `json:"in_flight"`
}

// leavingOrDown tells whether the leaf is leaving or gone.
func (f *Faults) leavingOrDown() bool { return f.Drain || f.Down || len(f.DrainTo) > 0 }

// reportsDrainTo tells whether a caller at the IP number is told that the leaf drains.
func (f *Faults) reportsDrainTo(ip string) bool { return f.Drain || slices.Contains(f.DrainTo, ip) }
