package soak

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// crash adds a copy of a crashing request that VM vm sends at the given time in seconds, which ends a new leaf.
func (h *History) crash(vm int, seconds float64) {
	n := len(h.LeafEnds)
	id, leaf := fmt.Sprintf("c%d", n), fmt.Sprintf("v0-%d", n)
	target := "/v/" + crashMark + "1"
	h.Calls = append(h.Calls, Call{ID: id, Kind: Single, Target: target, VM: vm, Sent: at(seconds), Ended: at(seconds + 0.1), Status: 502})
	h.Runs = append(h.Runs, Run{ID: id, Leaf: leaf, Service: "v0", Target: target, At: at(seconds), Ran: true})
	h.LeafEnds = append(h.LeafEnds, LeafEnd{Leaf: leaf, Target: target, At: at(seconds)})
}

func TestCheckOfCrashingRequests(t *testing.T) {
	for name, tt := range map[string]struct {
		ends       []float64
		disturbed  bool
		violations int
	}{
		"three":                          {ends: []float64{5, 5.5, 6}},
		"two more at once":               {ends: []float64{5, 5.5, 6, 6.2, 6.5}},
		"a fourth later":                 {ends: []float64{5, 5.5, 6, 8}, violations: 1},
		"a fourth later, disturbed":      {ends: []float64{5, 5.5, 6, 8}, disturbed: true},
		"four more after the settlement": {ends: []float64{5, 5.5, 6, 11, 11.1, 11.2, 11.3}, violations: 5},
	} {
		t.Run(name, func(t *testing.T) {
			h := good()
			for _, seconds := range tt.ends {
				h.crash(1, seconds)
			}
			if tt.disturbed {
				h.Disturbed[1] = []Span{{at(7), at(7.5), "freeze"}}
			}
			is.New(t).Equal(len(checkCrashing(h, newIndex(h))), tt.violations)
		})
	}
}
