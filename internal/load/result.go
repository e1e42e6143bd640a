package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run. Its JSON form is for programs.
type Result struct {
	Seed    uint64        `json:"seed"`
	Elapsed float64       `json:"elapsed_s"`
	Kinds   []KindResult  `json:"kinds"`
	Leaves  LeafResult    `json:"leaves"`
	CPU     []CPUResult   `json:"cpu"`
	Phases  []PhaseResult `json:"phases"`
}

// PhaseResult holds the settings of a phase: the rate in requests per second and the duration in seconds.
type PhaseResult struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`
	Duration float64 `json:"duration_s"`
}

// KindResult holds the measurements of one kind of one service in one phase.
type KindResult struct {
	Phase   string `json:"phase"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Requests counts finished requests, Sends all sends including resends. Dropped counts arrivals
	// that were never sent because the load program had too many requests in flight.
	Requests uint64 `json:"requests"`
	Sends    uint64 `json:"sends"`
	Dropped  uint64 `json:"dropped"`
	// Goodput is the number of answers per second of the phase.
	Goodput float64 `json:"goodput"`
	// Answered and Lost measure from the intended start, Refused from each send.
	Answered Quantiles `json:"answered"`
	Refused  Quantiles `json:"refused"`
	Lost     Quantiles `json:"lost"`
	// CoverageMean is the mean share of documents covered, over all answers. WholeShare is the share
	// of answers that were whole.
	CoverageMean float64 `json:"coverage_mean"`
	WholeShare   float64 `json:"whole_share"`
	// Outcomes counts requests by final outcome and reason.
	Outcomes map[string]uint64 `json:"outcomes"`
	Replayed uint64            `json:"replayed"`
	Untyped  uint64            `json:"untyped"`
	// Mismatches counts answers to a text other than the request's; any value but 0 is a fault.
	Mismatches uint64 `json:"mismatches"`
}

// Quantiles are the quantiles of a histogram in milliseconds.
type Quantiles struct {
	Count uint64  `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// LeafResult compares the leaf calls made with those needed: one per shard of each answered search.
type LeafResult struct {
	Searches   uint64 `json:"searches"`
	Needed     uint64 `json:"needed"`
	Executions uint64 `json:"executions"`
	// CallsPerNeeded is Searches divided by Needed, or 0 if none was needed. Searches also includes the
	// calls of searches that weren't answered.
	CallsPerNeeded float64 `json:"calls_per_needed"`
	// InFlightShare is the maximum of concurrent calls, including queued ones, divided by the slots.
	// ConnectionsShare is the maximum of connections divided by the limit. Both are those of the leaf
	// with the highest share, or 0 if the settings have no limits.
	InFlightShare    float64 `json:"in_flight_share"`
	ConnectionsShare float64 `json:"connections_share"`
}

// CPUResult is the CPU time of the processes of one role.
type CPUResult struct {
	Role      string  `json:"role"`
	Processes int     `json:"processes"`
	Seconds   float64 `json:"seconds"`
	// MicrosPerRequest is the CPU time in microseconds per send, MicrosPerLeafCall that per leaf call,
	// over all sends and leaf calls of the run.
	MicrosPerRequest  float64 `json:"micros_per_request"`
	MicrosPerLeafCall float64 `json:"micros_per_leaf_call"`
}

func newResult(s *Settings, rec *Recorder, counts Counts, elapsed time.Duration) *Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &Result{Seed: s.Load.Seed, Elapsed: elapsed.Seconds()}
	var sends uint64
	for p, phase := range s.Phases {
		r.Phases = append(r.Phases, PhaseResult{Name: phase.Name, Rate: phase.Rate, Duration: phase.Duration.D().Seconds()})
		for m, mix := range s.Mix {
			t := rec.tallies[p][m]
			r.Kinds = append(r.Kinds, newKindResult(phase, mix, t))
			r.Leaves.Needed += t.shards
			sends += t.sends
		}
	}
	r.Leaves.Searches, r.Leaves.Executions = counts.Searches, counts.Executions
	r.Leaves.CallsPerNeeded = ratio(float64(counts.Searches), float64(r.Leaves.Needed))
	r.Leaves.InFlightShare, r.Leaves.ConnectionsShare = counts.InFlightShare, counts.ConnectionsShare
	r.CPU = cpuResults(s.Processes, counts, sends)
	return r
}

func newKindResult(phase PhaseSettings, mix MixSettings, t *tally) KindResult {
	answered := uint64(t.answered.TotalCount())
	return KindResult{
		Phase: phase.Name, Service: mix.Service, Kind: mix.Kind,
		Requests: t.requests, Sends: t.sends, Dropped: t.dropped,
		Goodput:  ratio(float64(answered), phase.Duration.D().Seconds()),
		Answered: quantiles(t.answered), Refused: quantiles(t.refused), Lost: quantiles(t.lost),
		CoverageMean: ratio(t.coverage, float64(answered)),
		WholeShare:   ratio(float64(t.whole), float64(answered)),
		Outcomes:     t.outcomes, Replayed: t.replayed, Untyped: t.untyped, Mismatches: t.mismatches,
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Quantiles{
		Count: uint64(h.TotalCount()), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// cpuResults sums the CPU time of the processes by role, sorted by role.
func cpuResults(processes []ProcessSettings, counts Counts, sends uint64) []CPUResult {
	byRole := make(map[string]*CPUResult)
	for _, p := range processes {
		c := byRole[p.Role]
		if c == nil {
			c = &CPUResult{Role: p.Role}
			byRole[p.Role] = c
		}
		c.Processes++
		c.Seconds += counts.CPUSeconds[p.Name]
	}
	var all []CPUResult
	for _, c := range byRole {
		c.MicrosPerRequest = ratio(c.Seconds*1e6, float64(sends))
		c.MicrosPerLeafCall = ratio(c.Seconds*1e6, float64(counts.Searches+counts.Executions))
		all = append(all, *c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Role < all[j].Role })
	return all
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable writes the result as a table for people.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "phase\tkind\trequests\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\twhole\trefused\tp99 ms\tlost\t")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(t, "%s\t%s/%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%d\t%.1f\t%d\t\n",
			k.Phase, k.Service, k.Kind, k.Requests, k.Goodput, k.Answered.P50, k.Answered.P99, k.Answered.P999,
			k.CoverageMean, k.WholeShare, k.Refused.Count, k.Refused.P99, k.Lost.Count)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeNotes(w)
}

// writeNotes writes the notes of each kind, the leaf calls and the CPU times, one per line.
func (r *Result) writeNotes(w io.Writer) error {
	var b strings.Builder
	for _, k := range r.Kinds {
		if notes := k.notes(); notes != "" {
			fmt.Fprintf(&b, "%s %s/%s: %s\n", k.Phase, k.Service, k.Kind, notes)
		}
	}
	fmt.Fprintf(&b, "leaf calls: %d searches for %d needed (%.3f), %d executions\n",
		r.Leaves.Searches, r.Leaves.Needed, r.Leaves.CallsPerNeeded, r.Leaves.Executions)
	for _, c := range r.CPU {
		fmt.Fprintf(&b, "CPU of %d %s: %.0f µs a send, %.1f µs a leaf call\n",
			c.Processes, c.Role, c.MicrosPerRequest, c.MicrosPerLeafCall)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// notes lists the outcomes other than whole answers, sorted by name, then drops and mismatches.
func (k KindResult) notes() string {
	var parts []string
	for name, n := range k.Outcomes {
		if name != "answered_whole" {
			parts = append(parts, fmt.Sprintf("%s %d", name, n))
		}
	}
	sort.Strings(parts)
	if k.Dropped > 0 {
		parts = append(parts, fmt.Sprintf("dropped %d", k.Dropped))
	}
	if k.Mismatches > 0 {
		parts = append(parts, fmt.Sprintf("MISMATCHES %d", k.Mismatches))
	}
	return strings.Join(parts, ", ")
}
