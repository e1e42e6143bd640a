package scenarios

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

// journal is what all leaves have written since the start of the scenario. A leaf writes a line before
// the effect that the line names, so that the journal is complete for a killed leaf too.
type journal struct {
	lines []leaf.FileLine
	// arrived holds the ids of the requests that reached a leaf, refused there or not.
	arrived map[string]bool
	// delivered holds the leaves' answers by request id, with the shard and snapshot that each answer names.
	delivered map[string][]leaf.Delivery
}

// journal reads the journals of all leaves.
func (f *fleet) journal() (*journal, error) {
	j := &journal{arrived: make(map[string]bool), delivered: make(map[string][]leaf.Delivery)}
	for _, n := range f.leaves {
		data, err := os.ReadFile(f.leafLogFile(n))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
		for text := range bytes.Lines(data) {
			var line leaf.FileLine
			if err := json.Unmarshal(text, &line); err != nil {
				return nil, fmt.Errorf("journal of %s: %w", n.name, err)
			}
			j.add(line)
		}
	}
	return j, nil
}

func (j *journal) add(line leaf.FileLine) {
	j.lines = append(j.lines, line)
	switch {
	case line.Arrival != nil:
		j.arrived[line.Arrival.RequestID] = true
	case line.Delivery != nil:
		id := line.Delivery.RequestID
		j.delivered[id] = append(j.delivered[id], *line.Delivery)
	}
}

// hitCounts returns the distinct numbers of hits with which leaves delivered the shard of the snapshot
// for the request. It is empty if no leaf delivered it.
func (j *journal) hitCounts(id string, shard uint32, snapshot uint64) map[int]bool {
	counts := make(map[int]bool)
	for _, d := range j.delivered[id] {
		if d.Shard == shard && d.Snapshot == snapshot {
			counts[d.Hits] = true
		}
	}
	return counts
}
