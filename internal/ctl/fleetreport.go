package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// fleetReport is the state of all processes asked.
type fleetReport struct {
	Processes   []member `json:"processes"`
	Ready       int      `json:"ready"`
	Unreachable int      `json:"unreachable"`
	// BundleVersions counts processes by the version they have in force.
	BundleVersions map[uint64]int `json:"bundle_versions"`
}

func newFleetReport(members []member) fleetReport {
	r := fleetReport{Processes: members, BundleVersions: make(map[uint64]int)}
	for _, m := range members {
		switch {
		case m.Unreachable != "":
			r.Unreachable++
		case m.Ready:
			r.Ready++
		}
		if m.Info != nil {
			r.BundleVersions[m.Info.BundleVersion]++
		}
	}
	return r
}

func (r fleetReport) writeText(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "OPERATOR\tVM\tZONE\tROLE\tINCARNATION\tBUNDLE\tPLATFORM AGE\tSTATE\tREADY")
	for _, m := range r.Processes {
		_, _ = fmt.Fprintln(t, strings.Join(m.cells(), "\t"))
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "\n%d processes, %d ready, %d unreachable\n", len(r.Processes), r.Ready, r.Unreachable)
	if len(r.BundleVersions) > 1 {
		_, _ = fmt.Fprintf(w, "bundle versions differ: %s\n", r.versions())
	}
}

func (r fleetReport) versions() string {
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(r.BundleVersions)) {
		parts = append(parts, fmt.Sprintf("version %d in %d processes", v, r.BundleVersions[v]))
	}
	return strings.Join(parts, ", ")
}

// cells are the columns of a process's row.
func (m member) cells() []string {
	unknown := []string{m.Operator, "-", "-", "-", "-", "-", "-"}
	if m.Unreachable != "" {
		return append(unknown, "unreachable", m.Unreachable)
	}
	ready := "ready"
	if !m.Ready {
		ready = "not ready: " + m.Why
	}
	if m.Info == nil {
		return append(unknown, "-", ready)
	}
	i := m.Info
	return []string{
		m.Operator, i.VM, i.Zone, i.Role, fmt.Sprintf("%016x", i.Incarnation), fmt.Sprint(i.BundleVersion),
		platformAge(i.PlatformAgeSeconds), string(i.State), ready,
	}
}

// platformAge writes an age in seconds, or that there was no contact.
func platformAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond).String()
}
