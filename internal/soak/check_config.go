package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// versionOf returns the newest version that was in force by the time known and routes single requests to the
// service, or 0 if there is none.
func (h *History) versionOf(service string, known time.Time) int {
	for i := len(h.Configs) - 1; i >= 0; i-- {
		if f := h.Configs[i]; f.Service == service && !f.At.After(known) {
			return f.Version
		}
	}
	return 0
}

// handledVersion returns the configuration version by which a single request was handled, which the service of its
// first run identifies. It returns 0 if no leaf ran the request, or if the call is of another kind.
func (h *History) handledVersion(x *index, c *Call) int {
	if c.Kind != Single {
		return 0
	}
	for _, r := range x.runs[c.ID] {
		if r.Ran {
			return h.versionOf(r.Service, c.Ended)
		}
	}
	return 0
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

// versionRead models one request as a read of the configuration version that a process uses.
type versionRead struct{ version int }

// versionModel models the configuration version of a process, which never decreases.
var versionModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		got := output.(versionRead).version
		return got >= state.(int), max(got, state.(int))
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
		if got := h.handledVersion(x, c); got > 0 {
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

// showsRollback reports whether any request that started after another had ended shows an older version. Only then
// is the linearizability check needed.
func showsRollback(ops []porcupine.Operation) bool {
	byEnd := slices.Clone(ops)
	slices.SortFunc(byEnd, func(a, b porcupine.Operation) int { return int(a.Return - b.Return) })
	byCall := slices.Clone(ops)
	slices.SortFunc(byCall, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	newest, ended := 0, 0
	for _, op := range byCall {
		for ; ended < len(byEnd) && byEnd[ended].Return < op.Call; ended++ {
			newest = max(newest, byEnd[ended].Output.(versionRead).version)
		}
		if op.Output.(versionRead).version < newest {
			return true
		}
	}
	return false
}
