package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two bundles, in words for a reviewer.
type Change struct {
	// Service is empty for limits and callers.
	Service string `json:"service,omitempty"`
	// Subject names what differs, such as `leaf "teachers-0-a"`.
	Subject string `json:"subject"`
	// Action is added, removed or changed.
	Action Action `json:"action"`
	// Detail says what it is or what changed in it. It holds no token hash.
	Detail string `json:"detail"`
}

// Action is what happened to a subject.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// String returns the change in one line.
func (c Change) String() string {
	s := fmt.Sprintf("%s %s", c.Subject, c.Action)
	if c.Service != "" {
		s = fmt.Sprintf("service %q: %s", c.Service, s)
	}
	if c.Detail != "" {
		s += ": " + c.Detail
	}
	return s
}

// Diff returns what changes from a to b: limits, callers, then each service in order of its name.
// Order and comments of the text don't count.
func Diff(a, b *Bundle) []Change {
	var d differ
	d.compareFields("limits", limitFields(a.Limits), limitFields(b.Limits))
	diffMaps(&d, "caller", a.Callers, b.Callers, callerFields)
	for _, name := range unionKeys(a.Services, b.Services) {
		d.service = name
		d.compareServices(a.Services[name], b.Services[name])
	}
	return d.changes
}

// differ collects the changes; service is the one under comparison.
type differ struct {
	service string
	changes []Change
}

func (d *differ) add(action Action, subject, detail string) {
	d.changes = append(d.changes, Change{Service: d.service, Subject: subject, Action: action, Detail: detail})
}

// fields are the values of a subject, in the order in which they are shown.
type fields []field

type field struct{ name, value string }

func (f fields) String() string {
	var parts []string
	for _, x := range f {
		if x.value != notApplicable {
			parts = append(parts, x.name+" "+x.value)
		}
	}
	return strings.Join(parts, ", ")
}

// compareFields adds a change if any field differs; a and b have the same names in the same order.
func (d *differ) compareFields(subject string, a, b fields) {
	var parts []string
	for i := range a {
		if a[i].value != b[i].value {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", a[i].name, a[i].value, b[i].value))
		}
	}
	if len(parts) > 0 {
		d.add(Changed, subject, strings.Join(parts, ", "))
	}
}

// diffMaps compares two maps of subjects by key.
func diffMaps[T any](d *differ, kind string, a, b map[string]*T, fieldsOf func(*T) fields) {
	for _, name := range unionKeys(a, b) {
		subject := fmt.Sprintf("%s %q", kind, name)
		x, y := a[name], b[name]
		switch {
		case x == nil:
			d.add(Added, subject, fieldsOf(y).String())
		case y == nil:
			d.add(Removed, subject, fieldsOf(x).String())
		default:
			d.compareFields(subject, fieldsOf(x), fieldsOf(y))
		}
	}
}

// unionKeys returns the keys of both maps in order, each once.
func unionKeys[K ~string, T any](a, b map[K]*T) []K {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// compareServices compares one service; either side may be nil.
func (d *differ) compareServices(a, b *Service) {
	switch {
	case a == nil:
		d.add(Added, "service", serviceSummary(b))
		a = &Service{}
	case b == nil:
		d.add(Removed, "service", serviceSummary(a))
		return
	}
	diffMaps(d, "kind", a.Kinds, b.Kinds, kindFields)
	diffMaps(d, "leaf", a.Leaves, b.Leaves, leafFields)
	d.compareSnapshots(a, b)
}

func serviceSummary(s *Service) string {
	return fmt.Sprintf("%d kinds, %d leaves, %d snapshots", len(s.Kinds), len(s.Leaves), len(s.Snapshots))
}
