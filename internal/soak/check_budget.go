package soak

import (
	"fmt"
	"slices"
	"time"
)

// checkBudget: in any window a service gets no more arrivals beyond the first of each request than the
// budget allows. Requests for it count in that window, the one before it, or the one half a window before,
// whichever has most.
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

// byService returns the times of arrival of a request at each service, the first ones first.
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

// requestsFor returns when requests were sent that a configuration around that time sends to the service.
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

// mayTarget tells whether a version that may be in force while the call goes on sends it to the service.
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

// overBudget returns the first window in which extra calls exceed the budget, in words; empty for none.
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
