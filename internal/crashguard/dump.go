package crashguard

import (
	"strconv"
	"time"
)

// requestDump is what the dump shows of one request.
type requestDump struct {
	// MayHaveEnded are the leaves at which its connection was lost and which are being checked.
	MayHaveEnded []string `json:"may_have_ended,omitempty"`
	// Ended are the leaves that ended while they ran it, since its last answer.
	Ended   []string `json:"ended,omitempty"`
	Blocked bool     `json:"blocked"`
}

// Dump returns the requests that may be crashing leaves, by digest.
func (g *Guard) Dump() any {
	out := make(map[string]*requestDump)
	entry := func(digest uint64) *requestDump {
		key := strconv.FormatUint(digest, 10)
		if out[key] == nil {
			out[key] = new(requestDump)
		}
		return out[key]
	}
	since := g.clock().Add(-blockPeriod)
	for _, digest := range g.fleet.Suspects() {
		e := entry(digest)
		for _, c := range g.fleet.Crashes(digest, since) {
			e.Ended = append(e.Ended, c.Leaf.String()+" "+g.clock().Sub(c.At).Round(time.Millisecond).String()+" ago")
		}
		e.Blocked = g.crashedTooMany(digest)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for digest, leaves := range g.suspects {
		for leaf := range leaves {
			e := entry(digest)
			e.MayHaveEnded = append(e.MayHaveEnded, leaf.String())
		}
	}
	return out
}
