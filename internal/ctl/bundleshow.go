package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// BundleShowCmd prints the contents of a bundle.
type BundleShowCmd struct {
	Path string `arg:"" help:"Text, or directory of a signed bundle."`
}

// Run implements the command.
func (c *BundleShowCmd) Run(app *App) error {
	b, err := loadBundle(c.Path)
	if err != nil {
		return err
	}
	return app.print(newShowReport(b))
}

// showReport describes a bundle, without the hashes of its callers' tokens.
type showReport struct {
	Version  uint64        `json:"version"`
	Digest   string        `json:"digest,omitempty"`
	Limits   showLimits    `json:"limits"`
	Callers  []showCaller  `json:"callers"`
	Services []showService `json:"services"`
}

type showLimits struct {
	MaxQueryBytes int    `json:"max_query_bytes"`
	MaxTopK       int    `json:"max_top_k"`
	MaxTimeout    string `json:"max_timeout"`
}

type showCaller struct {
	Name     string   `json:"name"`
	Services []string `json:"services"`
	Rate     float64  `json:"rate"`
	Burst    int      `json:"burst"`
	Share    int      `json:"share"`
}

type showService struct {
	Name      string         `json:"name"`
	Kinds     []showKind     `json:"kinds"`
	Leaves    map[string]int `json:"leaves_by_zone"`
	Snapshots []showSnapshot `json:"snapshots"`
}

// showKind describes a kind of request. Fields that do not apply to orders are omitted for them.
type showKind struct {
	Name          string         `json:"name"`
	Mode          bundle.Mode    `json:"mode"`
	Weight        int            `json:"weight"`
	Timeout       string         `json:"timeout"`
	TopK          int            `json:"top_k,omitempty"`
	Partial       bundle.Partial `json:"partial,omitempty"`
	MinCoverage   float64        `json:"min_coverage,omitempty"`
	EarlyCoverage float64        `json:"early_coverage,omitempty"`
	EarlyAfter    float64        `json:"early_after,omitempty"`
	HedgeBudget   float64        `json:"hedge_budget,omitempty"`
	RetryBudget   float64        `json:"retry_budget,omitempty"`
}

type showSnapshot struct {
	Version   uint64 `json:"version"`
	Shards    int    `json:"shards"`
	Documents uint64 `json:"documents"`
}

func newShowReport(b *bundle.Bundle) showReport {
	l := b.Limits
	r := showReport{Version: b.Version, Limits: showLimits{l.MaxQueryBytes, l.MaxTopK, l.MaxTimeout.String()}}
	if !b.Digest.IsZero() {
		r.Digest = b.Digest.String()
	}
	for _, name := range slices.Sorted(maps.Keys(b.Callers)) {
		c := b.Callers[name]
		r.Callers = append(r.Callers, showCaller{c.Name, c.Services, c.Rate, c.Burst, c.Share})
	}
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		r.Services = append(r.Services, newShowService(b.Services[name]))
	}
	return r
}

func newShowService(s *bundle.Service) showService {
	out := showService{Name: s.Name, Leaves: make(map[string]int)}
	for _, name := range slices.Sorted(maps.Keys(s.Kinds)) {
		k := s.Kinds[name]
		out.Kinds = append(out.Kinds, showKind{k.Name, k.Mode, k.Weight, k.Timeout.String(), k.TopK, k.Partial,
			k.MinCoverage, k.EarlyCoverage, k.EarlyAfter, k.HedgeBudget, k.RetryBudget})
	}
	for _, l := range s.Leaves {
		out.Leaves[l.Zone]++
	}
	for _, sn := range s.Snapshots {
		out.Snapshots = append(out.Snapshots, showSnapshot{sn.Version, len(sn.Shards), sn.Documents()})
	}
	return out
}

func (r showReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "version %d", r.Version)
	if r.Digest != "" {
		_, _ = fmt.Fprintf(w, ", digest %s", r.Digest)
	}
	_, _ = fmt.Fprintf(w, "\nlimits: query %d bytes, top_k %d, timeout %s\n\n", r.Limits.MaxQueryBytes, r.Limits.MaxTopK, r.Limits.MaxTimeout)
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "CALLER\tRATE\tBURST\tSHARE\tSERVICES")
	for _, c := range r.Callers {
		_, _ = fmt.Fprintf(t, "%s\t%v\t%d\t%d\t%s\n", c.Name, c.Rate, c.Burst, c.Share, strings.Join(c.Services, " "))
	}
	_ = t.Flush()
	for _, s := range r.Services {
		s.writeText(w)
	}
}

func (s showService) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\nservice %s\n", s.Name)
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "KIND\tMODE\tWEIGHT\tTIMEOUT\tTOP_K\tPARTIAL\tMIN COVERAGE\tHEDGES\tRETRIES")
	for _, k := range s.Kinds {
		if k.Mode == bundle.ModeOrder {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t-\t-\t-\t-\t-\n", k.Name, k.Mode, k.Weight, k.Timeout)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%s\t%v\t%v\t%v\n", k.Name, k.Mode, k.Weight, k.Timeout, k.TopK,
			k.Partial, k.MinCoverage, k.HedgeBudget, k.RetryBudget)
	}
	_ = t.Flush()
	for _, zone := range slices.Sorted(maps.Keys(s.Leaves)) {
		_, _ = fmt.Fprintf(w, "%d leaves in %s\n", s.Leaves[zone], zone)
	}
	for _, sn := range s.Snapshots {
		_, _ = fmt.Fprintf(w, "snapshot %d: %d shards, %d documents\n", sn.Version, sn.Shards, sn.Documents)
	}
}
