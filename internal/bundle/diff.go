package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two bundles, described for a reviewer.
type Change struct {
	// Service is the name of the service, empty for limits and callers.
	Service string `json:"service,omitempty"`
	// Subject names what differs, such as `leaf "teachers-0-a"`.
	Subject string `json:"subject"`
	// Action is added, removed or changed.
	Action Action `json:"action"`
	// Detail describes the subject, or what changed in it. It holds no complete token hash.
	Detail string `json:"detail"`
}

// Action is the kind of a change.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// String formats the change as one line.
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

// Diff returns the changes from a to b: limits, callers, then services, both in order of their names.
// The order of the text and its comments are ignored.
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

// differ collects changes. service is the name of the service under comparison.
type differ struct {
	service string
	changes []Change
}

func (d *differ) add(action Action, subject, detail string) {
	d.changes = append(d.changes, Change{Service: d.service, Subject: subject, Action: action, Detail: detail})
}

// fields holds the values of a subject in display order.
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

// compareFields adds a change if any field differs. a and b must have the same names in the same order.
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

// diffMaps compares two maps of subjects by key. fieldsOf returns the fields of a subject.
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

// unionKeys returns the sorted keys of both maps without duplicates.
func unionKeys[K ~string, T any](a, b map[K]*T) []K {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// compareServices compares two versions of one service. Either may be nil.
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
