package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// fleetReport is the state of all queried processes.
type fleetReport struct {
	Processes   []processReport `json:"processes"`
	Ready       int             `json:"ready"`
	Unreachable int             `json:"unreachable"`
	// BundleVersions counts the processes by the bundle version that they have in force.
	BundleVersions map[uint64]int `json:"bundle_versions"`
}

func newFleetReport(reports []processReport) fleetReport {
	r := fleetReport{Processes: reports, BundleVersions: make(map[uint64]int)}
	for _, p := range reports {
		switch {
		case p.Unreachable != "":
			r.Unreachable++
		case p.Ready:
			r.Ready++
		}
		if p.Info != nil {
			r.BundleVersions[p.Info.BundleVersion]++
		}
	}
	return r
}

func (r fleetReport) writeText(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "OPERATOR\tVM\tZONE\tROLE\tINCARNATION\tBUNDLE\tPLATFORM AGE\tSTATE\tREADY")
	for _, p := range r.Processes {
		_, _ = fmt.Fprintln(t, strings.Join(p.cells(), "\t"))
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "\n%d processes, %d ready, %d unreachable\n", len(r.Processes), r.Ready, r.Unreachable)
	if len(r.BundleVersions) > 1 {
		_, _ = fmt.Fprintf(w, "bundle versions differ: %s\n", r.versions())
	}
}

// versions lists the number of processes per bundle version.
func (r fleetReport) versions() string {
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(r.BundleVersions)) {
		parts = append(parts, fmt.Sprintf("version %d in %d processes", v, r.BundleVersions[v]))
	}
	return strings.Join(parts, ", ")
}

// cells returns the cells of the process's row.
func (p processReport) cells() []string {
	unknown := []string{p.Operator, "-", "-", "-", "-", "-", "-"}
	if p.Unreachable != "" {
		return append(unknown, "unreachable", p.Unreachable)
	}
	ready := "ready"
	if !p.Ready {
		ready = "not ready: " + p.NotReadyReason
	}
	if p.Info == nil {
		return append(unknown, "-", ready)
	}
	i := p.Info
	return []string{
		p.Operator, i.VM, i.Zone, i.Role, fmt.Sprintf("%016x", i.Incarnation), fmt.Sprint(i.BundleVersion),
		platformAge(i.PlatformAgeSeconds), string(i.State), ready,
	}
}

// platformAge formats the time since the last contact with the platform. A negative age means that there was
// none.
func platformAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond).String()
}
