package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violation is a guarantee that a run broke.
type Violation struct {
	Check  string `json:"check"`
	Detail string `json:"detail"`
}

// check verifies one guarantee. run returns one description per violation.
type check struct {
	name string
	run  func(h *History, x *index) []string
}

// checks lists the guarantees in the order of the report.
var checks = []check{
	{"own whole true answers", checkAnswers},
	{"nothing unasked runs", checkUnrequested},
	{"orders run once at most", checkOnce},
	{"not run means not run", checkNotRun},
	{"extra calls keep the budget", checkBudget},
	{"leaving leaves get no new work", checkDrain},
	{"evacuated zones get no new work", checkEvacuations},
	{"cold leaves get no more than they tolerate", checkCold},
	{"crashing requests are refused", checkCrashing},
	{"configuration in force in time", checkConfig},
	{"configuration never goes back", checkRollback},
	{"orderly ends cut nothing", checkUnanswered},
	{"orderly ends end", checkTermination},
	{"service recovers", checkRecovery},
	{"foreign entries name no leaf", checkForeign},
}

// maxDetails limits the violations of one check that a report lists.
const maxDetails = 5

// Check returns the violations in a history.
func Check(h *History) []Violation {
	x := newIndex(h)
	var out []Violation
	for _, c := range checks {
		details := c.run(h, x)
		for _, d := range details[:min(maxDetails, len(details))] {
			out = append(out, Violation{c.name, d})
		}
		if n := len(details); n > maxDetails {
			out = append(out, Violation{c.name, fmt.Sprintf("and %d more", n-maxDetails)})
		}
	}
	return out
}

// index finds the call and the runs of a request ID.
type index struct {
	calls map[string]*Call
	runs  map[string][]*Run
}

func newIndex(h *History) *index {
	x := &index{calls: make(map[string]*Call), runs: make(map[string][]*Run)}
	for i := range h.Calls {
		x.calls[h.Calls[i].ID] = &h.Calls[i]
	}
	for i := range h.Runs {
		r := &h.Runs[i]
		x.runs[r.ID] = append(x.runs[r.ID], r)
	}
	return x
}

// runCount returns how often a leaf started to work on the request.
func (x *index) runCount(id string) int {
	n := 0
	for _, r := range x.runs[id] {
		if r.Ran {
			n++
		}
	}
	return n
}

// signedRun returns the run that a signature identifies, or nil if no leaf produced that signature.
func (x *index) signedRun(id, stamp string) *Run {
	for _, r := range x.runs[id] {
		if r.Ran && r.Leaf+"."+id == stamp {
			return r
		}
	}
	return nil
}

// checkAnswers reports successes that lack the signatures of leaves that ran this request, or whose body is
// anything other than what those leaves answered.
func checkAnswers(h *History, x *index) []string {
	var out []string
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Status != 200 {
			continue
		}
		if why := answerError(h, x, c); why != "" {
			out = append(out, fmt.Sprintf("%s %s at VM %d: %s", c.Kind, c.ID, c.VM, why))
		}
	}
	return out
}

// answerError describes what is wrong with a success; it returns an empty string if nothing is.
func answerError(h *History, x *index, c *Call) string {
	var services []string
	for _, stamp := range c.Stamps {
		r := x.signedRun(c.ID, stamp)
		if r == nil {
			return fmt.Sprintf("no leaf signed %q", stamp)
		}
		services = append(services, r.Service)
	}
	if c.Kind == Search {
		return searchError(h, c, services)
	}
	if len(services) != 1 {
		return fmt.Sprintf("%d signatures", len(services))
	}
	if want := answer(services[0], c.ID, c.Target); c.Body != want {
		return fmt.Sprintf("body %q, want %q", c.Body, want)
	}
	return ""
}

// searchError describes what is wrong with a successful search whose parts come from the given shards; it returns
// an empty string if nothing is.
func searchError(h *History, c *Call, shards []string) string {
	slices.Sort(shards)
	if len(slices.Compact(slices.Clone(shards))) != len(shards) {
		return fmt.Sprintf("a shard twice: %v", shards)
	}
	fits := func(f Config) bool {
		within := func(s string) bool { return slices.Contains(f.Shards, s) }
		return !slices.ContainsFunc(shards, func(s string) bool { return !within(s) }) && len(f.Shards)-len(shards) == c.Missing
	}
	if !slices.ContainsFunc(h.Configs, fits) {
		return fmt.Sprintf("parts %v and %d missing fit no configuration", shards, c.Missing)
	}
	if want := merge(shards, c.Target); c.Body != want {
		return fmt.Sprintf("body %q, want %q of %v", c.Body, want, shards)
	}
	return ""
}

// checkUnrequested reports leaf runs of requests that no caller sent, or that were sent with another target.
func checkUnrequested(h *History, x *index) []string {
	var out []string
	for i := range h.Runs {
		r := &h.Runs[i]
		c := x.calls[r.ID]
		if r.Ran && (c == nil || c.Target != r.Target) {
			out = append(out, fmt.Sprintf("leaf %s ran %q of id %q", r.Leaf, r.Target, r.ID))
		}
	}
	return out
}

// checkOnce reports orders that ran more than once.
func checkOnce(h *History, x *index) []string {
	return checkCalls(h, func(c *Call) string {
		if n := x.runCount(c.ID); c.Kind == Order && n > 1 {
			return fmt.Sprintf("order %s ran %d times", c.ID, n)
		}
		return ""
	})
}

// checkNotRun reports orders that were refused with status 503 or 429 although a leaf ran them.
func checkNotRun(h *History, x *index) []string {
	return checkCalls(h, func(c *Call) string {
		if c.Kind == Order && (c.Status == 503 || c.Status == 429) && x.runCount(c.ID) > 0 {
			return fmt.Sprintf("order %s was answered %d and ran", c.ID, c.Status)
		}
		return ""
	})
}

// checkCalls applies f to each call and returns the non-empty results.
func checkCalls(h *History, f func(*Call) string) []string {
	var out []string
	for i := range h.Calls {
		if s := f(&h.Calls[i]); s != "" {
			out = append(out, s)
		}
	}
	return out
}

// checkDrain reports requests that reached a draining leaf later than drainBound after it was marked, if the VM was
// undisturbed for settleTime before the mark and until the request arrived.
func checkDrain(h *History, x *index) []string {
	type start struct {
		leaf string
		born int64
	}
	drained := make(map[start]time.Time)
	for _, d := range h.Drains {
		drained[start{d.Leaf, d.Born}] = d.At
	}
	var out []string
	for i := range h.Runs {
		r := &h.Runs[i]
		at, draining := drained[start{r.Leaf, r.Born}]
		c := x.calls[r.ID]
		if !draining || c == nil || r.At.Before(at.Add(drainBound+slack)) || !h.undisturbed(c.VM, at, r.At) {
			continue
		}
		out = append(out, fmt.Sprintf("request %s of VM %d reached leaf %s %v after it was marked as leaving", r.ID, c.VM, r.Leaf, r.At.Sub(at).Round(time.Millisecond)))
	}
	return out
}

// checkUnanswered reports requests that reached a leaf but got no answer. Two cases are allowed: the VM was killed
// during the call, or the VM was frozen and so could not answer before the caller gave up. A graceful shutdown is not
// an excuse. Requests that were not sent completely are ignored.
func checkUnanswered(h *History, x *index) []string {
	return checkCalls(h, func(c *Call) string {
		switch {
		case c.Err == "", strings.HasPrefix(c.Err, notSent), len(x.runs[c.ID]) == 0, h.killedWithin(c.VM, c.Sent, c.Ended):
			return ""
		case strings.HasPrefix(c.Err, gaveUp) && h.frozenWithin(c.VM, c.Sent, c.Ended):
			return ""
		}
		return fmt.Sprintf("%s %s at VM %d, passed on to a leaf, got no answer: %s", c.Kind, c.ID, c.VM, c.Err)
	})
}

// checkTermination reports graceful shutdowns that failed.
func checkTermination(h *History, _ *index) []string {
	var out []string
	for _, e := range h.Ends {
		if e.Err != "" {
			out = append(out, fmt.Sprintf("VM %d: %s", e.VM, e.Err))
		}
	}
	return out
}

// recoveredShare is the minimum share of requests that must succeed once recovery is due. Leaves inject no failures
// at that time.
const recoveredShare = 0.95

// checkRecovery reports a share of successes below recoveredShare between recoveryBound after the last fault and
// the end of the run.
func checkRecovery(h *History, _ *index) []string {
	sent, served := 0, 0
	for i := range h.Calls {
		if c := &h.Calls[i]; c.Sent.After(h.Calm.Add(recoveryBound)) && c.Ended.Before(h.Closing) {
			sent++
			if c.Status == 200 {
				served++
			}
		}
	}
	if float64(served) >= recoveredShare*float64(sent) && sent > 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests were served from %v after the last fault on", served, sent, recoveryBound)}
}
