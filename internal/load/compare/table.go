package compare

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/burdockplank/burdockplank/internal/load"
)

// spread is the minimum, median and maximum over the repetitions.
type spread struct{ min, median, max float64 }

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	slices.Sort(values)
	return spread{values[0], values[len(values)/2], values[len(values)-1]}
}

// String formats the median, and the minimum and maximum if they differ.
func (s spread) String() string {
	if s.min == s.max {
		return fmt.Sprintf("%.2f", s.median)
	}
	return fmt.Sprintf("%.2f [%.2f-%.2f]", s.median, s.min, s.max)
}

// row holds the repetitions of a case under a policy.
type row struct {
	name, policy string
	runs         []*Run
}

func (b *Bench) rows() []row {
	var rows []row
	for _, r := range b.Runs {
		i := slices.IndexFunc(rows, func(o row) bool { return o.name == r.Case && o.policy == r.Policy })
		if i < 0 {
			i = len(rows)
			rows = append(rows, row{name: r.Case, policy: r.Policy})
		}
		rows[i].runs = append(rows[i].runs, r)
	}
	return rows
}

// over returns the spread of a value over the repetitions that have the value.
func (r row) over(value func(*Run) (float64, bool)) spread {
	var values []float64
	for _, run := range r.runs {
		if v, ok := value(run); ok {
			values = append(values, v)
		}
	}
	return spreadOf(values)
}

// WriteTable writes two tables for people: the target service by kind, and the load by case.
func (b *Bench) WriteTable(w io.Writer, target string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "case\tpolicy\tphase\tkind\tp50 ms\tp99\tp99.9\tp99/calm\tp99/baseline\tcoverage\twhole\tgoodput/s\trefused\tfailed\tunknown\tdropped\trefusal p99 ms\tafter p99/calm\t")
	for _, r := range b.rows() {
		written := make(map[string]bool) // a case may send a kind twice, such as with a fixed text; the table shows the first
		for _, k := range r.runs[0].During.Kinds {
			if name := k.Phase + "/" + k.Kind; k.Service == target && !written[name] {
				written[name] = true
				b.writeKind(t, r, k)
			}
		}
	}
	_, _ = fmt.Fprintln(t, "\ncase\tpolicy\tcalls/needed\tin flight/slots\tconnections/limit\tus/query entry\tgather\tsync\tus/leaf call gather\t")
	for _, r := range b.rows() {
		writeLoad(t, r)
	}
	return t.Flush()
}

func (b *Bench) writeKind(w io.Writer, r row, k load.KindResult) {
	of := func(value func(load.KindResult) float64) spread {
		return r.over(func(run *Run) (float64, bool) {
			found, ok := find(run.During, k.Phase, k.Service, k.Kind)
			return value(found), ok
		})
	}
	p99 := func(k load.KindResult) float64 { return k.Answered.P99 }
	outcomes := func(prefix string) spread {
		return of(func(k load.KindResult) float64 { return float64(countOutcome(k.Outcomes, prefix)) })
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%s\t%s\t%.4f\t%.4f\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%s\t\n",
		r.name, r.policy, k.Phase, k.Kind,
		of(func(k load.KindResult) float64 { return k.Answered.P50 }).median, of(p99).median,
		of(func(k load.KindResult) float64 { return k.Answered.P999 }).median,
		r.over(func(run *Run) (float64, bool) { return b.ratioToCalm(run, run.During, k.Phase, k) }),
		r.over(func(run *Run) (float64, bool) { return b.ratioToBaseline(run, k) }),
		of(func(k load.KindResult) float64 { return k.CoverageMean }).median,
		of(func(k load.KindResult) float64 { return k.WholeShare }).median,
		of(func(k load.KindResult) float64 { return k.Goodput }),
		outcomes("not_run").median, outcomes("failed").median, outcomes("unknown").median,
		of(func(k load.KindResult) float64 { return float64(k.Dropped) }).median,
		of(func(k load.KindResult) float64 { return k.Refused.P99 }).median,
		r.over(func(run *Run) (float64, bool) { return b.ratioToCalm(run, run.AfterFault, afterPhase, k) }))
}

func writeLoad(w io.Writer, r row) {
	of := func(value func(*load.Result) float64) spread {
		return r.over(func(run *Run) (float64, bool) { return value(run.During), true })
	}
	cpu := func(role string, value func(load.CPUResult) float64) float64 {
		return of(func(res *load.Result) float64 {
			for _, c := range res.CPU {
				if c.Role == role {
					return value(c)
				}
			}
			return 0
		}).median
	}
	query := func(c load.CPUResult) float64 { return c.MicrosPerRequest }
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", r.name, r.policy,
		of(func(res *load.Result) float64 { return res.Leaves.CallsPerNeeded }),
		of(func(res *load.Result) float64 { return res.Leaves.InFlightShare }),
		of(func(res *load.Result) float64 { return res.Leaves.ConnectionsShare }).median,
		cpu("entry", query), cpu("gather", query), cpu("sync", query),
		cpu("gather", func(c load.CPUResult) float64 { return c.MicrosPerLeafCall }))
}

// ratioToCalm returns the p99 divided by that of the calm case of the same policy and repetition.
func (b *Bench) ratioToCalm(run *Run, during *load.Result, phase string, k load.KindResult) (float64, bool) {
	calm := b.find(run.Repetition, calmCase, run.Policy)
	if calm == nil || during == nil {
		return 0, false
	}
	of, okOf := find(during, phase, k.Service, k.Kind)
	to, okTo := find(calm.During, partCase, k.Service, k.Kind)
	return quotient(of.Answered.P99, to.Answered.P99), okOf && okTo
}

// ratioToBaseline returns the p99 divided by that of the same case and repetition under the baseline
// policy.
func (b *Bench) ratioToBaseline(run *Run, k load.KindResult) (float64, bool) {
	base := b.find(run.Repetition, run.Case, baselinePolicy)
	if base == nil {
		return 0, false
	}
	of, okOf := find(run.During, k.Phase, k.Service, k.Kind)
	to, okTo := find(base.During, k.Phase, k.Service, k.Kind)
	return quotient(of.Answered.P99, to.Answered.P99), okOf && okTo
}

// find returns the result of a kind in a phase, the first one if the mix has the kind twice.
func find(r *load.Result, phase, service, kind string) (load.KindResult, bool) {
	if r == nil {
		return load.KindResult{}, false
	}
	for _, k := range r.Kinds {
		if k.Phase == phase && k.Service == service && k.Kind == kind {
			return k, true
		}
	}
	return load.KindResult{}, false
}

// quotient returns a/b, or 0 if b is 0.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// countOutcome sums the counts of an outcome over its reasons. Names are OUTCOME or OUTCOME/REASON.
func countOutcome(outcomes map[string]uint64, prefix string) uint64 {
	var n uint64
	for name, count := range outcomes {
		if name == prefix || strings.HasPrefix(name, prefix+"/") {
			n += count
		}
	}
	return n
}
