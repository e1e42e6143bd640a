package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at is a time of the histories below, in seconds from their begin.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// good is a small history in which every promise is kept: a single request, an order, a search that lacks a
// shard, and a change of the configuration.
func good() *History {
	h := &History{
		Configs: []Config{
			{Version: 1, At: at(0), Shards: shardSet(false), Service: "v0"},
			{Version: 2, At: at(10), Shards: shardSet(false), Service: "v1"},
		},
		Drains: []Drain{{Leaf: "v0-gone", At: at(3)}}, Ends: []End{{VM: 1, Asked: at(40)}},
		Disturbed: make(map[int][]Span), Killed: make(map[int][]Span), Calm: at(12), Closing: at(40),
	}
	h.single("s1", "v0", 2)
	h.single("s2", "v1", 14)
	h.single("s3", "v1", 30)
	h.order("o1", 5)
	target := "/s/q1"
	covered := []string{"a0", "a1", "a3"}
	c := Call{ID: "q1", Kind: Search, Target: target, Sent: at(6), Ended: at(6.1), Status: 200, Missing: 1, Body: merge(covered, target)}
	for _, s := range covered {
		h.Runs = append(h.Runs, Run{ID: "q1", Leaf: s + "-x", Service: s, Target: target, At: at(6.05), Ran: true})
		c.Stamps = append(c.Stamps, s+"-x.q1")
	}
	h.Calls = append(h.Calls, c)
	return h
}

func (h *History) single(id, service string, seconds float64) {
	h.served(Call{ID: id, Kind: Single, Target: "/v/" + id, Sent: at(seconds)}, service)
}

func (h *History) order(id string, seconds float64) {
	h.served(Call{ID: id, Kind: Order, Target: "/o/" + id, Sent: at(seconds)}, orderService)
}

// served adds the call with its answer by leaf x of the service.
func (h *History) served(c Call, service string) {
	c.Ended, c.Status = c.Sent.Add(20*time.Millisecond), 200
	c.Stamps, c.Body = []string{service + "-x." + c.ID}, answer(service, c.ID, c.Target)
	h.Calls = append(h.Calls, c)
	h.Runs = append(h.Runs, Run{ID: c.ID, Leaf: service + "-x", Service: service, Target: c.Target, At: c.Sent.Add(5 * time.Millisecond), Ran: true})
}

// call returns the call of an id.
func (h *History) call(id string) *Call {
	for i := range h.Calls {
		if h.Calls[i].ID == id {
			return &h.Calls[i]
		}
	}
	return nil
}

func TestGoodHistoryPasses(t *testing.T) {
	is.New(t).Equal(Check(good()), nil)
}

// TestEachCheckFails breaks each promise in the good history, in each way that its check knows.
func TestEachCheckFails(t *testing.T) {
	for name, tt := range map[string]struct {
		check   string
		violate func(h *History)
	}{
		"another's answer":   {"own whole true answers", func(h *History) { h.call("s1").Stamps = []string{"v0-x.s2"} }},
		"two signatures":     {"own whole true answers", func(h *History) { c := h.call("s1"); c.Stamps = append(c.Stamps, c.Stamps[0]) }},
		"a cut body":         {"own whole true answers", func(h *History) { c := h.call("s1"); c.Body = c.Body[:3] }},
		"untrue coverage":    {"own whole true answers", func(h *History) { h.call("q1").Missing = 0 }},
		"a shard twice":      {"own whole true answers", func(h *History) { c := h.call("q1"); c.Stamps[0] = c.Stamps[1] }},
		"records missing":    {"own whole true answers", func(h *History) { c := h.call("q1"); c.Body = merge([]string{"a0"}, c.Target) }},
		"shards of two sets": {"own whole true answers", func(h *History) { h.Runs[len(h.Runs)-1].Service = "b1" }},
		"an unknown id":      {"nothing unasked runs", func(h *History) { h.Runs = append(h.Runs, Run{ID: "z", Leaf: "v0-x", Ran: true}) }},
		"a changed target":   {"nothing unasked runs", func(h *History) { h.Runs[0].Target = "/v/other" }},
		"an order twice": {"orders run once at most", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "o1", Leaf: "orders-y", Service: orderService, Target: "/o/o1", At: at(5.5), Ran: true})
		}},
		"not run, and ran": {"not run means not run", func(h *History) { h.call("o1").Status = 503 }},
		"calls without end": {"extra calls keep the budget", func(h *History) {
			for i := range budgetSlack + 2 {
				h.Runs = append(h.Runs, Run{ID: "s1", Leaf: "v0-y", Service: "v0", Target: "/v/s1", At: at(2.1 + float64(i)/10)})
			}
		}},
		"work for a leaf that left": {"leaving leaves get no new work", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-gone", Service: "v1", Target: "/v/s3", At: at(30)})
		}},
		"an old version":  {"configuration in force in time", func(h *History) { h.single("late", "v0", 13.6) }},
		"a version again": {"configuration never goes back", func(h *History) { h.single("back", "v1", 11); h.single("again", "v0", 11.5) }},
		"a cut": {"orderly ends cut nothing", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "c", Leaf: orderService + "-x", Service: orderService, Target: "/o/c", At: at(20), Ran: true})
			h.Calls = append(h.Calls, Call{ID: "c", Kind: Order, Target: "/o/c", Sent: at(20), Ended: at(20.1), Err: "EOF"})
		}},
		"a foreign entry used": {"foreign entries name no leaf", func(h *History) { h.Trapped = []string{"request s1 reached it"} }},
		"no end":               {"orderly ends end", func(h *History) { h.Ends[0].Err = "still runs" }},
		"no recovery":          {"service recovers", func(h *History) { c := h.call("s3"); c.Status, c.Stamps = 503, nil }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := good()
			tt.violate(h)
			broken := make(map[string]bool)
			for _, v := range Check(h) {
				broken[v.Check] = true
			}
			is.True(broken[tt.check])
		})
	}
}

// TestAllowedCases are histories that look like a broken promise and are none.
func TestAllowedCases(t *testing.T) {
	unanswered := func(h *History, why string) {
		h.Runs = append(h.Runs, Run{ID: "c", Leaf: orderService + "-x", Service: orderService, Target: "/o/c", At: at(20), Ran: true})
		h.Calls = append(h.Calls, Call{ID: "c", Kind: Order, Target: "/o/c", Sent: at(20), Ended: at(23), Err: why})
	}
	for name, change := range map[string]func(h *History){
		"a VM killed at work": func(h *History) { unanswered(h, "EOF"); h.Killed[0] = []Span{{at(21), at(21), "killed"}} },
		"a caller that a frozen VM keeps": func(h *History) {
			unanswered(h, gaveUp+"timeout")
			h.Disturbed[0] = []Span{{at(21), at(24), freezeSpan}}
		},
		"an old version at a VM cut off":  func(h *History) { h.single("late", "v0", 13.6); h.Disturbed[0] = []Span{{at(11), at(12), "cut"}} },
		"an old version while it comes":   func(h *History) { h.single("new", "v1", 10.5); h.single("old", "v0", 10.6) },
		"an old version at another VM":    func(h *History) { h.single("new", "v1", 11); h.single("old", "v0", 11.5); h.call("old").VM = 2 },
		"an old version at another start": func(h *History) { h.single("new", "v1", 11); h.single("old", "v0", 11.5); h.call("old").Start = 2 },
		"a drain heard of late, cut off": func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-gone", Service: "v1", At: at(6.7)})
			h.Disturbed[0] = []Span{{at(4), at(5), "cut"}}
		},
		"a leaf that left and started again": func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-gone", Born: 7, Service: "v1", Target: "/v/s3", At: at(30)})
		},
		"a refusal without a run": func(h *History) {
			h.Calls = append(h.Calls, Call{ID: "r", Kind: Order, Status: 503, Sent: at(7), Ended: at(7)})
		},
		"a request before recovery is due": func(h *History) {
			h.Calls = append(h.Calls, Call{ID: "r", Kind: Single, Status: 503, Sent: at(20), Ended: at(20)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := good()
			change(h)
			is.New(t).Equal(Check(h), nil)
		})
	}
}

func TestPlanRepeats(t *testing.T) {
	is := is.New(t)
	a, b, other := NewPlan(7, DefaultSize()), NewPlan(7, DefaultSize()), NewPlan(8, DefaultSize())
	is.Equal(a, b)
	is.True(len(a) != len(other) || a[0] != other[0])
	seen := make(map[Fault]bool)
	for seed := range uint64(20) {
		for _, e := range NewPlan(seed, DefaultSize()) {
			seen[e.Fault] = true
			is.True(e.At <= DefaultSize().Faults && e.For <= maxFaultTime)
		}
	}
	added := map[Fault]bool{LeafRestart: true, LeafSwap: true, StoreForeign: true}
	is.Equal(len(seen), len(faults)+len(added)+3) // and the changes of the configuration and the loss of all VMs
}
