package load

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// counterTimeout is the timeout of one HTTP request for counts.
	counterTimeout = 10 * time.Second
	cpuMetric      = "process_cpu_seconds_total"
)

// Counts are the counts of leaves and processes since their start.
type Counts struct {
	// Searches and Executions are the totals over all leaves.
	Searches, Executions uint64
	// CPUSeconds is the CPU time in seconds by process name.
	CPUSeconds map[string]float64
	// InFlightShare and ConnectionsShare are the highest values of any leaf since its log was cleared.
	// InFlightShare is the concurrent calls, including queued ones, divided by the leaf's slots.
	// ConnectionsShare is the connections divided by the leaf's limit.
	InFlightShare, ConnectionsShare float64
}

// sub returns the increase of the counts since earlier. The shares are maxima and stay as they are.
func (c Counts) sub(earlier Counts) Counts {
	d := Counts{
		Searches:      c.Searches - earlier.Searches,
		Executions:    c.Executions - earlier.Executions,
		CPUSeconds:    make(map[string]float64),
		InFlightShare: c.InFlightShare, ConnectionsShare: c.ConnectionsShare,
	}
	for name, s := range c.CPUSeconds {
		d.CPUSeconds[name] = s - earlier.CPUSeconds[name]
	}
	return d
}

// Counters reads the counts of leaves and processes.
type Counters interface {
	Read(ctx context.Context) (Counts, error)
}

// HTTPCounters reads the logs of leaf stand-ins and the metrics of processes over HTTP.
type HTTPCounters struct {
	leaves    []LeafSettings
	processes []ProcessSettings
	client    *http.Client
}

// NewHTTPCounters returns counters for the leaves and processes of validated settings.
func NewHTTPCounters(s *Settings) *HTTPCounters {
	return &HTTPCounters{leaves: s.Leaves, processes: s.Processes, client: &http.Client{Timeout: counterTimeout}}
}

// Read implements Counters.
func (h *HTTPCounters) Read(ctx context.Context) (Counts, error) {
	c := Counts{CPUSeconds: make(map[string]float64)}
	for _, l := range h.leaves {
		n, err := h.readLeaf(ctx, l)
		if err != nil {
			return Counts{}, eris.Wrapf(err, "load: counts of leaf %s", l.ID)
		}
		c.Searches += n.Searches
		c.Executions += n.Executions
		c.InFlightShare = max(c.InFlightShare, ratio(n.InFlightMax, float64(l.Slots)))
		c.ConnectionsShare = max(c.ConnectionsShare, ratio(n.ConnectionsMax, float64(l.Connections)))
	}
	for _, p := range h.processes {
		s, err := h.cpuSeconds(ctx, p)
		if err != nil {
			return Counts{}, eris.Wrapf(err, "load: CPU time of %s", p.Name)
		}
		c.CPUSeconds[p.Name] = s
	}
	return c, nil
}

func (h *HTTPCounters) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	res, err := h.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "get")
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, eris.Errorf("get %s: %s", url, res.Status)
	}
	return res, nil
}

// leafCounts are the counts in a leaf stand-in's log.
type leafCounts struct {
	Searches       uint64  `json:"searches"`
	Executions     uint64  `json:"executions"`
	InFlightMax    float64 `json:"in_flight_max"`
	ConnectionsMax float64 `json:"connections_max"`
}

func (h *HTTPCounters) readLeaf(ctx context.Context, l LeafSettings) (leafCounts, error) {
	res, err := h.get(ctx, "http://"+l.Control+"/log")
	if err != nil {
		return leafCounts{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var log struct {
		Counts leafCounts `json:"counts"`
	}
	if err := json.NewDecoder(res.Body).Decode(&log); err != nil {
		return leafCounts{}, eris.Wrap(err, "decode")
	}
	return log.Counts, nil
}

func (h *HTTPCounters) cpuSeconds(ctx context.Context, p ProcessSettings) (float64, error) {
	res, err := h.get(ctx, "http://"+p.Operator+"/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), cpuMetric+" "); ok {
			seconds, err := strconv.ParseFloat(value, 64)
			return seconds, eris.Wrap(err, "parse")
		}
	}
	if err := lines.Err(); err != nil {
		return 0, eris.Wrap(err, "read")
	}
	return 0, eris.Errorf("no metric %s", cpuMetric)
}
