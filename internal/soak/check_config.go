package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// versionsOf returns the versions, in rising order, that were in force by the time known and route single requests to
// the service. There may be several, since services come again in later versions.
func (h *History) versionsOf(service string, known time.Time) []int {
	var out []int
	for _, f := range h.Configs {
		if f.Service == service && !f.At.After(known) {
			out = append(out, f.Version)
		}
	}
	return out
}

// handledVersions returns the configuration versions by which a single request may have been handled, which the service
// of its first run identifies: a version that came after the request had reached the leaf is none of them. It returns nil
// if no leaf ran the request, or if the call is of another kind.
func (h *History) handledVersions(x *index, c *Call) []int {
	if c.Kind != Single {
		return nil
	}
	for _, r := range x.runs[c.ID] {
		if r.Ran {
			return h.versionsOf(r.Service, r.At)
		}
	}
	return nil
}

// handledVersion returns the newest of the versions by which a single request may have been handled, 0 for none.
func (h *History) handledVersion(x *index, c *Call) int {
	versions := h.handledVersions(x, c)
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1]
}

// checkConfig reports requests that were sent later than configBound after a version came into force but were
// handled by an older one, at a VM that was undisturbed from settleTime before the change until the request was sent.
func checkConfig(h *History, x *index) []string {
	return checkCalls(h, func(c *Call) string {
		got := h.handledVersion(x, c)
		if got == 0 {
			return ""
		}
		for _, f := range h.Configs {
			if f.Version > got && c.Sent.After(f.At.Add(configBound+slack)) && h.undisturbed(c.VM, f.At, c.Sent) {
				return fmt.Sprintf("request %s at VM %d was handled by version %d, %v after version %d", c.ID, c.VM, got, c.Sent.Sub(f.At).Round(time.Millisecond), f.Version)
			}
		}
		return ""
	})
}

// versionRead models one request as a read of the configuration version that a process uses: one of the versions, in
// rising order.
type versionRead struct{ versions []int }

// newest returns the newest version that may have been read.
func (r versionRead) newest() int { return r.versions[len(r.versions)-1] }

// versionModel models the configuration version of a process, which never decreases.
var versionModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		versions := output.(versionRead).versions
		i, _ := slices.BinarySearch(versions, state.(int))
		if i == len(versions) {
			return false, state
		}
		return true, versions[i] // the lowest that is possible forbids the least of what follows
	},
	Equal: func(a, b any) bool { return a == b },
}

// rollbackTimeout limits the linearizability check of one process's requests.
const rollbackTimeout = 10 * time.Second

// checkRollback reports process starts that returned to an older configuration version: no linearization of their
// requests exists in which the version never decreases. A request counts as in flight until rollbackSlack after its
// end.
func checkRollback(h *History, x *index) []string {
	type start struct{ vm, number int }
	reads := make(map[start][]porcupine.Operation)
	for i := range h.Calls {
		c := &h.Calls[i]
		if got := h.handledVersions(x, c); len(got) > 0 {
			key := start{c.VM, c.Start}
			reads[key] = append(reads[key], porcupine.Operation{
				ClientId: len(reads[key]), Call: c.Sent.UnixNano(), Output: versionRead{got}, Return: c.Ended.Add(rollbackSlack).UnixNano(),
			})
		}
	}
	var out []string
	for key, ops := range reads {
		if showsRollback(ops) && porcupine.CheckOperationsTimeout(versionModel, ops, rollbackTimeout) != porcupine.Ok {
			out = append(out, fmt.Sprintf("VM %d, start %d, returned to an older configuration version", key.vm, key.number))
		}
	}
	slices.Sort(out)
	return out
}

// showsRollback reports whether any request that started after another had ended shows an older version, if each was
// handled by the newest possible one. Only then is the linearizability check needed.
func showsRollback(ops []porcupine.Operation) bool {
	byEnd := slices.Clone(ops)
	slices.SortFunc(byEnd, func(a, b porcupine.Operation) int { return int(a.Return - b.Return) })
	byCall := slices.Clone(ops)
	slices.SortFunc(byCall, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	newest, ended := 0, 0
	for _, op := range byCall {
		for ; ended < len(byEnd) && byEnd[ended].Return < op.Call; ended++ {
			newest = max(newest, byEnd[ended].Output.(versionRead).newest())
		}
		if op.Output.(versionRead).newest() < newest {
			return true
		}
	}
	return false
}
