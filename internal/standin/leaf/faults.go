package leaf

import (
	"slices"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Faults are the injected faults of a leaf. The zero value is none; a PUT replaces all of them.
type Faults struct {
	// Drain refuses new calls as draining and sends GOAWAY on open connections. Clearing Drain or Down
	// counts as a restart: the leaf gets a new incarnation and a cold start.
	Drain bool `json:"drain"`
	// DrainTo reports only to callers at these IP numbers that the leaf drains, by refusals and in its
	// status; other callers are still served. Clearing it counts as a restart, too.
	DrainTo []string `json:"drain_to"`
	// Down refuses connections and resets open ones, as if the leaf was gone.
	Down bool `json:"down"`
	// SlowFactor multiplies the service time of SlowShare (0 to 1) of the calls; at or below 1 it has
	// no effect. SlowShare 0 is all calls.
	SlowFactor float64 `json:"slow_factor"`
	SlowShare  float64 `json:"slow_share"`
	// Shed refuses every call as shed.
	Shed bool `json:"shed"`
	// Report, if set, is reported in place of the true load.
	Report *Report `json:"report,omitempty"`
	// CrashMark crashes the leaf at a search or order whose text contains it.
	CrashMark string `json:"crash_mark"`
	// WrongShard and WrongSnapshot answer for the shard or snapshot after the requested one.
	WrongShard    bool `json:"wrong_shard"`
	WrongSnapshot bool `json:"wrong_snapshot"`
	// MixedShare is the share of searches, 0 to 1, that get the answer to an earlier search.
	MixedShare float64 `json:"mixed_share"`
	// ErrorShare is the share of calls, 0 to 1, that fail with an error; orders fail before their effect.
	ErrorShare float64 `json:"error_share"`
	// ErrorAfterExecute makes orders fail with an error after their effect.
	ErrorAfterExecute bool `json:"error_after_execute"`
	// Stall accepts calls and never answers them.
	Stall bool `json:"stall"`
	// Empty answers searches with no hits.
	Empty bool `json:"empty"`
	// HitBytes, if above the settings' HitBytes, replaces it as the length that the text of a hit is
	// padded to.
	HitBytes int `json:"hit_bytes"`
	// RefuseConnections refuses new connections; open ones stay open.
	RefuseConnections bool `json:"refuse_connections"`
	// HoldExecute is an extra delay between an order's effect and its answer.
	HoldExecute settings.Duration `json:"hold_execute"`
	// RefuseSnapshot refuses searches with snapshot_gone, whatever index versions the leaf has.
	RefuseSnapshot bool `json:"refuse_snapshot"`
}

// Report is a load report that replaces the true load.
type Report struct {
	Utilisation float64 `json:"utilisation"`
	InFlight    uint32  `json:"in_flight"`
}

// leavingOrDown reports whether the leaf drains, for some or all callers, or is down.
func (f *Faults) leavingOrDown() bool { return f.Drain || f.Down || len(f.DrainTo) > 0 }

// reportsDrainTo reports whether the leaf shows itself as draining to a caller at the IP number.
func (f *Faults) reportsDrainTo(ip string) bool { return f.Drain || slices.Contains(f.DrainTo, ip) }
