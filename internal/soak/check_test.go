package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns the time the given number of seconds after the start of a history.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// good returns a small history without violations: three single requests, an order, a search that lacks a shard, and a
// change of the configuration.
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

// single adds a successful single request that the service handled, sent at the given time in seconds.
func (h *History) single(id, service string, seconds float64) {
	h.served(Call{ID: id, Kind: Single, Target: "/v/" + id, Sent: at(seconds)}, service)
}

// order adds a successful order, sent at the given time in seconds.
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

// call returns the call with the given ID, or nil.
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

// TestEachCheckFails breaks each guarantee in the good history, in every way that its check detects.
func TestEachCheckFails(t *testing.T) {
	for name, tt := range map[string]struct {
		check   string
		violate func(h *History)
	}{
		"answer of another request": {"own whole true answers", func(h *History) { h.call("s1").Stamps = []string{"v0-x.s2"} }},
		"two signatures":            {"own whole true answers", func(h *History) { c := h.call("s1"); c.Stamps = append(c.Stamps, c.Stamps[0]) }},
		"truncated body":            {"own whole true answers", func(h *History) { c := h.call("s1"); c.Body = c.Body[:3] }},
		"wrong coverage":            {"own whole true answers", func(h *History) { h.call("q1").Missing = 0 }},
		"shard covered twice":       {"own whole true answers", func(h *History) { c := h.call("q1"); c.Stamps[0] = c.Stamps[1] }},
		"records missing":           {"own whole true answers", func(h *History) { c := h.call("q1"); c.Body = merge([]string{"a0"}, c.Target) }},
		"shards of two sets":        {"own whole true answers", func(h *History) { h.Runs[len(h.Runs)-1].Service = "b1" }},
		"unknown request ID":        {"nothing unasked runs", func(h *History) { h.Runs = append(h.Runs, Run{ID: "z", Leaf: "v0-x", Ran: true}) }},
		"changed target":            {"nothing unasked runs", func(h *History) { h.Runs[0].Target = "/v/other" }},
		"order run twice": {"orders run once at most", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "o1", Leaf: "orders-y", Service: orderService, Target: "/o/o1", At: at(5.5), Ran: true})
		}},
		"order run but answered as not run": {"not run means not run", func(h *History) { h.call("o1").Status = 503 }},
		"extra calls beyond the budget": {"extra calls keep the budget", func(h *History) {
			for i := range budgetSlack + 2 {
				h.Runs = append(h.Runs, Run{ID: "s1", Leaf: "v0-y", Service: "v0", Target: "/v/s1", At: at(2.1 + float64(i)/10)})
			}
		}},
		"request to a drained leaf": {"leaving leaves get no new work", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-gone", Service: "v1", Target: "/v/s3", At: at(30)})
		}},
		"request to an evacuated zone": {"evacuated zones get no new work", func(h *History) {
			h.Evacuations = []Evacuation{{"az-1", at(20), at(30)}}
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-x", Zone: "az-1", Service: "v1", Target: "/v/s3", At: at(25)})
		}},
		"cold leaf overrun": {"cold leaves get no more than they tolerate", func(h *History) {
			h.Colds = []Cold{{"v0-cold", 0, at(20), at(22)}}
			for i := range 12 {
				h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-cold", Service: "v1", Target: "/v/s3", At: at(20.1 + float64(i)/20)})
			}
		}},
		"old version past the bound": {"configuration in force in time", func(h *History) { h.single("late", "v0", 13.6) }},
		"return to an older version": {"configuration never goes back", func(h *History) { h.single("back", "v1", 11); h.single("again", "v0", 11.5) }},
		"request without an answer": {"orderly ends cut nothing", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "c", Leaf: orderService + "-x", Service: orderService, Target: "/o/c", At: at(20), Ran: true})
			h.Calls = append(h.Calls, Call{ID: "c", Kind: Order, Target: "/o/c", Sent: at(20), Ended: at(20.1), Err: "EOF"})
		}},
		"foreign entry used": {"foreign entries name no leaf", func(h *History) { h.Trapped = []string{"request s1 reached it"} }},
		"process still runs": {"orderly ends end", func(h *History) { h.Ends[0].Err = "still runs" }},
		"no recovery":        {"service recovers", func(h *History) { c := h.call("s3"); c.Status, c.Stamps = 503, nil }},
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

// TestAllowedCases checks histories that resemble a violation but are allowed.
func TestAllowedCases(t *testing.T) {
	unanswered := func(h *History, why string) {
		h.Runs = append(h.Runs, Run{ID: "c", Leaf: orderService + "-x", Service: orderService, Target: "/o/c", At: at(20), Ran: true})
		h.Calls = append(h.Calls, Call{ID: "c", Kind: Order, Target: "/o/c", Sent: at(20), Ended: at(23), Err: why})
	}
	for name, change := range map[string]func(h *History){
		"VM killed during a call": func(h *History) { unanswered(h, "EOF"); h.Killed[0] = []Span{{at(21), at(21), "killed"}} },
		"caller gives up on a frozen VM": func(h *History) {
			unanswered(h, gaveUp+"timeout")
			h.Disturbed[0] = []Span{{at(21), at(24), freezeSpan}}
		},
		"old version at a disconnected VM": func(h *History) { h.single("late", "v0", 13.6); h.Disturbed[0] = []Span{{at(11), at(12), "cut"}} },
		"old version within the bound":     func(h *History) { h.single("new", "v1", 10.5); h.single("old", "v0", 10.6) },
		"old version at another VM":        func(h *History) { h.single("new", "v1", 11); h.single("old", "v0", 11.5); h.call("old").VM = 2 },
		"old version at another start":     func(h *History) { h.single("new", "v1", 11); h.single("old", "v0", 11.5); h.call("old").Start = 2 },
		"late drain at a disconnected VM": func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-gone", Service: "v1", At: at(6.7)})
			h.Disturbed[0] = []Span{{at(4), at(5), "cut"}}
		},
		"drained leaf started again": func(h *History) {
			h.Runs = append(h.Runs, Run{ID: "s3", Leaf: "v0-gone", Born: 7, Service: "v1", Target: "/v/s3", At: at(30)})
		},
		"refusal without a run": func(h *History) {
			h.Calls = append(h.Calls, Call{ID: "r", Kind: Order, Status: 503, Sent: at(7), Ended: at(7)})
		},
		"request before recovery is due": func(h *History) {
			h.Calls = append(h.Calls, Call{ID: "r", Kind: Single, Status: 503, Sent: at(20), Ended: at(20)})
		},
		// Seed 53007: the request had reached its leaf before the later version that has the same service.
		"late answer, its service came again": func(h *History) {
			h.Configs = append(h.Configs, Config{Version: 3, At: at(20), Shards: shardSet(false), Service: "v2"}, Config{Version: 4, At: at(22), Shards: shardSet(false), Service: "v1"})
			h.single("hung", "v1", 19.9)
			h.Calls[len(h.Calls)-1].Ended = at(22.1)
			h.single("next", "v2", 22.5)
			h.Disturbed[0] = []Span{{at(19), at(31), "cut"}}
		},
		// Seed 53012: five versions behind, a VM serves by one whose service came again.
		"far behind, its service came again": func(h *History) {
			h.Configs = append(h.Configs, Config{Version: 3, At: at(16), Shards: shardSet(false), Service: "v2"}, Config{Version: 4, At: at(18), Shards: shardSet(false), Service: "v1"})
			h.single("behind", "v1", 19)
			h.single("next", "v2", 20)
			h.Disturbed[0] = []Span{{at(9), at(31), "cut"}}
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
	added := map[Fault]bool{LeafRestart: true, LeafSwap: true, StoreForeign: true, ZoneEvacuate: true, StoreRestore: true, LeafCrashingText: true, CallerBurst: true, LeafUnsigned: true, LeafEndless: true}
	is.Equal(len(seen), len(faults)+len(added)+3) // plus the two kinds of configuration change and the kill of all VMs
}
