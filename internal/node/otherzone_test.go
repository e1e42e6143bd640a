package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/warmup"
)

// Extra calls and requests to cold leaves belong to the VMs that make the calls. A burst that moves the searches of a zone
// to the gatherers of another one must not add the parts of both beyond what the platform allows.
func TestBoundsWhereSearchesMoveToAnotherZone(t *testing.T) {
	limit := retrybudget.Limit{Ratio: 0.1, Slack: 30, Window: 10 * time.Second}
	coldLimit, coldRate := warmup.Limit{Overage: 1, Slack: 4}, 20.
	cold := catalog.Leaf{ID: catalog.LeafID{Name: "cold"}, Service: "shard", Zone: "a"}
	for name, makers := range map[string][]string{"stay": {"a", "a"}, "move": {"a", "b"}, "come back": {"b", "a"}} {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Now()
			clock := func() time.Time { return now }
			f, budgets, allowances := newCutFleet(), make(map[string]*retrybudget.Budgets), make(map[string]*warmup.Allowance)
			for _, self := range f.vms {
				others := slices.DeleteFunc(slices.Clone(f.vms), func(v peers.VM) bool { return v == self })
				s := newShares(self, others, others, nil)
				s.shardServices = map[string]bool{"shard": true}
				budgets[self.Address] = retrybudget.New(limit, clock)
				budgets[self.Address].SetShare(s.extraCallShare)
				a := warmup.New(self.Address, self.Zone, []string{"a", "b", "c"}, coldLimit, clock, prometheus.NewRegistry())
				a.SetCallers(coldLeafCallers(self, others), s.coldLeafKind)
				allowances[self.Address] = a
			}
			now = now.Add(time.Minute)
			extra, toCold := 0, 0
			for i := range 1000 { // within one second
				gatherer := fmt.Sprint(makers[i/500], i%2)
				budgets[gatherer].Request("shard")
				if budgets[gatherer].Take("shard", retrybudget.Needed) {
					extra++
				}
				if allowances[gatherer].Take(cold, coldRate) {
					toCold++
				}
				now = now.Add(time.Second / 1000)
			}
			is.True(extra > 0 && float64(extra) <= limit.Ratio*1000+limit.Slack)
			is.True(toCold > 0 && float64(toCold) <= coldLimit.Overage*coldRate+coldLimit.Slack)
		})
	}
}
