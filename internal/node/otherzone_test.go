package node

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/roster"
	"github.com/burdockplank/burdockplank/internal/warmup"
)

// othersOf returns the VMs of the fleet without one.
func (f *cutFleet) othersOf(self peers.VM) []peers.VM {
	return slices.DeleteFunc(slices.Clone(f.vms), func(v peers.VM) bool { return v == self })
}

// makers are the zones whose gatherers make the calls of the searches of zone a, in the two halves of a window.
var makers = map[string][2]string{"stay": {"a", "a"}, "move": {"a", "b"}, "come back": {"b", "a"}}

// Extra calls are spent by the VMs that make the calls. A burst that moves searches to another zone within a window must
// not add the spent budget of one zone to that of the other beyond what the platform allows.
func TestExtraCallsWhereSearchesMoveToAnotherZone(t *testing.T) {
	limit := retrybudget.Limit{Ratio: 0.1, Slack: 30, Window: 10 * time.Second}
	for name, zones := range makers {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Now()
			f, budgets := newCutFleet(), make(map[string]*retrybudget.Budgets)
			for _, self := range f.vms {
				live := f.othersOf(self)
				s := newShares(self, live, roster.New().Update(live, now), nil)
				s.shardServices = map[string]bool{"shard": true}
				budgets[self.Address] = retrybudget.New(limit, func() time.Time { return now })
				budgets[self.Address].SetShare(s.extraCallShare)
			}
			now = now.Add(2 * limit.Window)
			requests, extra := 0, 0
			for _, zone := range zones {
				for i := range 600 {
					b := budgets[zone+string(rune('0'+i%2))]
					b.Request("shard")
					requests++
					if b.Take("shard", retrybudget.Needed) {
						extra++
					}
					now = now.Add(limit.Window / 2400)
				}
			}
			is.True(extra > 0)
			is.True(float64(extra) <= limit.Ratio*float64(requests)+limit.Slack)
		})
	}
}

// A cold leaf gets no more requests where the searches move to the gatherers of another zone: each VM has a part of its
// own.
func TestColdLeavesWhereSearchesMoveToAnotherZone(t *testing.T) {
	limit := warmup.Limit{Overage: 1, Slack: 4}
	const rate = 20.
	for name, zones := range makers {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Now()
			f, allowances := newCutFleet(), make(map[string]*warmup.Allowance)
			for _, self := range f.vms {
				a := warmup.New(self.Address, self.Zone, []string{"a", "b", "c"}, limit, func() time.Time { return now }, prometheus.NewRegistry())
				a.SetCallers(coldLeafCallers(self, f.othersOf(self)), func(string) warmup.Kind { return warmup.Shards })
				allowances[self.Address] = a
			}
			now = now.Add(time.Minute)
			leaf, sent := catalog.Leaf{ID: catalog.LeafID{Name: "cold"}, Service: "shard", Zone: "a"}, 0
			for _, zone := range zones {
				for i := range 100 {
					if allowances[zone+string(rune('0'+i%2))].Take(leaf, rate) {
						sent++
					}
					now = now.Add(time.Second / 200)
				}
			}
			is.True(sent > 0)
			is.True(float64(sent) <= limit.Overage*rate+limit.Slack)
		})
	}
}
