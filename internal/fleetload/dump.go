package fleetload

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// leafDump and gathererDump are reports in the operators' dump. From is the VM that sent it, "own" for this one.
type leafDump struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	AgeMs   int64  `json:"age_ms"`
	From    string `json:"from"`
}

type gathererDump struct {
	WaitUs  int64  `json:"wait_us"`
	LagUs   int64  `json:"lag_us"`
	Leaving bool   `json:"leaving"`
	AgeMs   int64  `json:"age_ms"`
	From    string `json:"from"`
}

// Dump returns the known reports by leaf and by gatherer.
func (m *Manager) Dump() any {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(now)
	leaves := make(map[string]leafDump, len(m.leaves.byKey))
	for id, r := range m.leaves.byKey {
		leaves[id.String()] = dumpLeaf(r, now)
	}
	gatherers := make(map[string]gathererDump, len(m.gatherers.byKey))
	for address, r := range m.gatherers.byKey {
		gatherers[address] = dumpGatherer(r, now)
	}
	return map[string]any{"leaves": leaves, "gatherers": gatherers}
}

func dumpLeaf(r report[replica.Load], now time.Time) leafDump {
	return leafDump{r.load.Running, r.load.Waiting, r.load.Slots, now.Sub(r.at).Milliseconds(), origin(r.from)}
}

func dumpGatherer(r report[delegate.GathererLoad], now time.Time) gathererDump {
	return gathererDump{
		r.load.Wait.Microseconds(), r.load.Lag.Microseconds(), r.load.Leaving, now.Sub(r.at).Milliseconds(), origin(r.from),
	}
}

func origin(from string) string {
	if from == "" {
		return "own"
	}
	return from
}
