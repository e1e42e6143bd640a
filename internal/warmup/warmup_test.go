package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

func leafIn(zone string) catalog.Leaf {
	return catalog.Leaf{ID: catalog.LeafID{Name: "leaf"}, Service: "x", Zone: zone}
}

// names returns n names that begin with the prefix.
func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

// The parts of all VMs add up to the whole number of requests, however few these are: an equal share of 5 requests
// among 6 VMs is less than one for each, and the leaf would get none.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := names("zone", rapid.IntRange(1, 5).Draw(t, "zones"))
		total := rapid.IntRange(0, 70).Draw(t, "total")
		d, sum := division{zones}, 0
		leaf := leafIn("zone-0")
		for _, zone := range zones {
			callers := names(zone+"/vm", rapid.IntRange(1, 30).Draw(t, "callers"))
			for _, vm := range callers {
				sum += d.quota(leaf, total, callers, vm, zone)
			}
		}
		if sum != total {
			t.Fatalf("the parts add up to %d of %d", sum, total)
		}
	})
}

// Who is no caller, or in a zone that the settings don't name, has no part.
func TestNoPart(t *testing.T) {
	is := is.New(t)
	d := division{[]string{"a", "b"}}
	is.Equal(d.quota(leafIn("a"), 10, []string{"vm"}, "other", "a"), 0)
	is.Equal(d.quota(leafIn("a"), 10, []string{"vm"}, "vm", "c"), 0)
	is.Equal(division{}.quota(leafIn("a"), 10, []string{"vm"}, "vm", "b"), 0)
	is.Equal(division{}.quota(leafIn("a"), 10, []string{"vm"}, "vm", "a"), 10)
}

// Rates that no service can mean widen nothing: one below 0 leaves the slack, an absurd one a finite number.
func TestAbsurdRates(t *testing.T) {
	is := is.New(t)
	l := Limit{Overage: 1.5, Slack: 5}
	is.Equal(l.requests(-1e9), 2)
	is.Equal(l.requests(1e300), maxRequests)
	is.Equal(Limit{}.requests(10), 0)
}

// fixture is an allowance of the only VM of the only zone, on a clock of its own.
type fixture struct {
	*Allowance
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Allowance = New("vm", "a", []string{"a"}, Limit{Overage: 1.5, Slack: 5}, func() time.Time { return f.now }, prometheus.NewRegistry())
	f.see("vm")
	return f
}

func (f *fixture) see(vms ...string) {
	f.SetCallers(map[Kind][]string{Single: vms}, func(string) Kind { return Single })
}

// take returns how many requests to the leaf of the rate 4 are allowed now.
func (f *fixture) take() int {
	n := 0
	for f.Take(leafIn("a"), 4) {
		n++
	}
	return n
}

func TestAllowanceOfAWindow(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.take(), 0) // the process has just started
	f.now = f.now.Add(startDelay)
	is.Equal(f.take(), 5)
	f.now = f.now.Add(window - time.Millisecond)
	is.Equal(f.take(), 0)
	f.now = f.now.Add(time.Millisecond)
	is.Equal(f.take(), 5)
}

// Two VMs share what one has alone.
func TestCallersShareTheAllowance(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.see("vm", "other")
	f.now = f.now.Add(startDelay)
	shared := f.take()
	is.True(shared == 2 || shared == 3)
}
