package fleetload

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// Guards against VMs that end up with different reports, depending on the way that these took.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type entry struct {
			id catalog.LeafID
			r  report[replica.Load]
		}
		entries := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) entry {
			at := time.UnixMilli(int64(rapid.IntRange(0, 20).Draw(rt, "at")))
			load := replica.Load{Running: rapid.IntRange(0, 4).Draw(rt, "running"), Slots: slotCount}
			from := rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "from")
			return entry{leaf(rapid.IntRange(0, 8).Draw(rt, "leaf")), report[replica.Load]{load, at, from}}
		}), 1, 60).Draw(rt, "entries")
		merged := func(list []entry) map[catalog.LeafID]report[replica.Load] {
			s := newLeafReports()
			s.limit = 5 // so that reports are evicted
			for _, e := range list {
				s.merge(e.id, e.r)
			}
			return s.byKey
		}
		want := merged(entries)
		again := rapid.Permutation(slices.Concat(entries, entries)).Draw(rt, "again")
		is.New(rt).Equal(merged(again), want)
	})
}

// Guards against messages that grow with the number of leaves or gatherers.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	vm := newFleet(1, 1).list["zone-0"][0]
	now := time.Now()
	for i := range leafCount {
		vm.leaves.merge(leaf(i), report[replica.Load]{queued, now.Add(-900 * time.Millisecond), "b"})
	}
	msg := vm.message(now, "c", maxHubBytes)
	is.Equal(len(msg.GetLeaves()), leafCount)
	is.True(proto.Size(msg) <= 1<<10)
	for i := range 1000 {
		g := gatherer(i, time.Second, now)
		vm.leaves.merge(leaf(i), report[replica.Load]{queued, now, "b"})
		vm.gatherers.merge(g.Address, report[delegate.GathererLoad]{g, now, "b"})
	}
	is.Equal(len(vm.leaves.byKey), maxLeaves)
	is.Equal(len(vm.gatherers.byKey), maxGatherers)
	for _, maxBytes := range []int{maxReportBytes, maxAnswerBytes, maxHubBytes} {
		is.True(proto.Size(vm.message(now, "c", maxBytes)) <= maxBytes)
	}
	is.Equal(len(vm.message(now, "b", maxHubBytes).GetLeaves()), 0) // b has sent them itself
}

// Guards against reports that no leaf or gatherer can have sent: they would open or close it for a second.
func TestBadReportsAreIgnored(t *testing.T) {
	for name, change := range map[string]func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad){
		"no name":   func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) { l.Leaf, g.Address = "", "" },
		"long name": func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) { l.Leaf, g.Address = longName, longName },
		"huge": func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) {
			l.Waiting, g.Load.WaitUs = math.MaxUint32, math.MaxInt64
		},
		"negative": func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) { l.LeafBorn, g.Load.LagUs = -1, -1 },
		"old":      func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) { l.AgeMs, g.AgeMs = 1001, 1001 },
		"huge slots": func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) {
			l.Slots, g.Load.WaitLimitsUs[0] = math.MaxUint32, -5
		},
		"many limits": func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) {
			l.AgeMs, g.Load.WaitLimitsUs = 5000, make([]int64, 65)
		},
		"no load":    func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) { l.Running, g.Load = math.MaxUint32, nil },
		"of this VM": func(l *pb.FleetLeafLoad, g *pb.FleetGathererLoad) { l.Leaf, g.Address = "", "10.0.0.0:8224" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vm := newFleet(1, 1).list["zone-0"][0]
			l := &pb.FleetLeafLoad{Leaf: "i-1", Running: 4, Waiting: 4, Slots: 4}
			g := &pb.FleetGathererLoad{Address: "10.0.0.9:8224", Load: &pb.FleetPong{WaitUs: 9000, WaitLimitsUs: []int64{9000}}}
			msg := &pb.FleetLoad{Own: g.GetLoad(), Leaves: []*pb.FleetLeafLoad{l, nil}}
			msg.Gatherers = []*pb.FleetGathererLoad{g, nil}
			for _, msg.From = range []string{"", longName, vm.address} {
				vm.Answer(msg)
			}
			vm.Answer(nil)
			change(l, g)
			vm.Answer(&pb.FleetLoad{From: "b", Leaves: msg.GetLeaves(), Gatherers: msg.GetGatherers()})
			is.Equal(len(vm.leaves.byKey)+len(vm.gatherers.byKey)+len(vm.others.heard()), 0)
		})
	}
}

var longName = fmt.Sprintf("%0200d", 1)

// Guards against a hub that was paused and takes over requests from before the pause as new: their age does not
// include the time that they waited in its sockets. The same holds for an answer.
func TestPauseRevivesNoReports(t *testing.T) {
	is.New(t).Equal(resultOf(nil, exchangeTimeout+1), resultLate)
	for name, tt := range map[string]struct {
		pause, checkAfter, readAfter time.Duration
		taken                        bool
	}{
		"read before the check":        {5 * time.Second, time.Hour, 0, false},
		"read after the check":         {5 * time.Second, 0, 50 * time.Millisecond, false},
		"sent after the pause":         {5 * time.Second, 0, exchangeTimeout, true},
		"short pause":                  {600 * time.Millisecond, 0, 20 * time.Millisecond, true},
		"almost as long as reports do": {1040 * time.Millisecond, 0, 20 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				vm := newFleet(1, 1).list["zone-0"][0]
				vm.check(time.Now())
				time.Sleep(tt.pause)
				if tt.checkAfter == 0 {
					vm.check(time.Now())
				}
				time.Sleep(tt.readAfter)
				vm.Answer(&pb.FleetLoad{From: "b", Leaves: []*pb.FleetLeafLoad{{Leaf: "i-1", Running: 4, Slots: 4, AgeMs: 30}}})
				r, known := vm.leaves.byKey[catalog.LeafID{Name: "i-1"}]
				is.Equal(known, tt.taken)
				if known && tt.readAfter < exchangeTimeout && tt.pause > 100*time.Millisecond {
					is.True(time.Since(r.at) >= tt.pause-checkInterval)
				}
				time.Sleep(maxAge + 1)
				vm.check(time.Now())
				is.Equal(len(vm.leaves.byKey), 0)
			})
		})
	}
}
