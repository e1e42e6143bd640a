package soak

import (
	"fmt"
	"slices"
	"time"
)

// checkBudget reports services that got more extra calls in a window than the retry budget allows. Each arrival of
// a request after its first one at the service is an extra call. The budget follows from the requests for the
// service in that window, in the one before it, or in the one half a window earlier, whichever has most.
func checkBudget(h *History, x *index) []string {
	extra := make(map[string][]time.Time)
	for _, runs := range x.runs {
		for service, times := range byService(runs) {
			extra[service] = append(extra[service], times[1:]...)
		}
	}
	var out []string
	for service, times := range extra {
		slices.SortFunc(times, time.Time.Compare)
		if s := overBudget(service, times, requestsFor(h, service)); s != "" {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// byService returns a request's arrival times by service, each list in ascending order.
func byService(runs []*Run) map[string][]time.Time {
	out := make(map[string][]time.Time)
	for _, r := range runs {
		out[r.Service] = append(out[r.Service], r.At)
	}
	for _, times := range out {
		slices.SortFunc(times, time.Time.Compare)
	}
	return out
}

// requestsFor returns, in ascending order, the send times of the requests that a configuration of that time may
// route to the service.
func requestsFor(h *History, service string) []time.Time {
	var out []time.Time
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Kind == Order && service == orderService || c.Kind != Order && h.mayTarget(c, service) {
			out = append(out, c.Sent)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// mayTarget reports whether a configuration that may have been in force during the call routes it to the service.
func (h *History) mayTarget(c *Call, service string) bool {
	for i, f := range h.Configs {
		replaced := i+1 < len(h.Configs) && h.Configs[i+1].At.Before(c.Sent.Add(-configBound-settleTime))
		if f.At.After(c.Ended) || replaced {
			continue
		}
		if c.Kind == Single && f.Service == service || c.Kind == Search && slices.Contains(f.Shards, service) {
			return true
		}
	}
	return false
}

// overBudget describes the first window in which extra calls exceed the budget; it returns an empty string if there
// is none.
func overBudget(service string, extra, requests []time.Time) string {
	count := func(list []time.Time, from time.Time) int {
		lo, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		hi, _ := slices.BinarySearchFunc(list, from.Add(budgetWindow), time.Time.Compare)
		return hi - lo
	}
	for _, from := range extra {
		n := count(extra, from)
		requested := max(count(requests, from), count(requests, from.Add(-budgetWindow)), count(requests, from.Add(-budgetWindow/2)))
		if allowed := budgetRatio*float64(requested) + budgetSlack; float64(n) > allowed {
			return fmt.Sprintf("service %s got %d extra calls in %v for %d requests, %.0f are allowed", service, n, budgetWindow, requested, allowed)
		}
	}
	return ""
}
