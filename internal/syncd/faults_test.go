package syncd

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/platform"
)

const (
	liveState    = pb.VmState_VM_STATE_LIVE
	leavingState = pb.VmState_VM_STATE_LEAVING
	goneState    = pb.VmState_VM_STATE_GONE
)

// inZone returns the nodes of a zone, or those of all other zones if in is false.
func (f *fleet) inZone(zone string, in bool) (out []*node) {
	for _, nd := range f.all() {
		if (nd.zone == zone) == in {
			out = append(out, nd)
		}
	}
	return out
}

// oneOf returns some node of a zone.
func (f *fleet) oneOf(zone string) *node { return f.inZone(zone, true)[0] }

// cut disconnects a zone from all others; "" reconnects it.
func (f *fleet) cut(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZone = zone
}

func TestZoneCutOffAndHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 4)
		f.platform.set(func(p *fakePlatform) { p.cutZones["az-1"] = true })
		f.cut("az-1")
		inside, outside := f.oneOf("az-1"), f.oneOf("az-2")
		f.waitFor(20*time.Second, "each side sees the other as gone", func() bool {
			return inside.state(outside.id) == goneState && outside.state(inside.id) == goneState
		})
		for _, nd := range f.inZone("az-1", true) {
			if nd.id != inside.id && inside.state(nd.id) != liveState {
				t.Errorf("%s is %s inside its own zone", nd.id, inside.state(nd.id))
			}
		}
		f.publish(2)
		f.waitFor(3*time.Second, "version 2 outside", func() bool {
			for _, nd := range f.inZone("az-1", false) {
				if nd.version() != 2 {
					return false
				}
			}
			return true
		})
		time.Sleep(20 * time.Second)
		is := is.New(t)
		is.Equal(inside.version(), uint64(1)) // continues to serve with the highest version it has seen
		ready, _ := inside.manager.Ready()
		is.True(ready)
		age, known := inside.manager.spread.PlatformAge(time.Now())
		is.True(known)
		is.True(age > 20*time.Second) // and reports the age of its last contact
		f.cut("")
		f.waitFor(5*time.Second, "version 2 everywhere after the cut", f.allAt(2))
		f.waitFor(20*time.Second, "all are live everywhere", func() bool {
			return f.allSee(inside.id, liveState)() && f.allSee(outside.id, liveState)()
		})
	})
}

func TestZonesThatDoNotReachEachOtherStayLiveThroughAThird(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 18, 3)
		f.mu.Lock()
		f.cutPair = [2]string{"az-1", "az-2"}
		f.mu.Unlock()
		for range 60 {
			time.Sleep(time.Second)
			for _, nd := range f.all() {
				is.True(!f.anySees(nd.id, goneState))
			}
		}
		f.platform.set(func(p *fakePlatform) { p.cutZones["az-1"], p.cutZones["az-3"] = true, true })
		f.publish(2)
		f.waitFor(3*time.Second, "version 2 everywhere, through the third zone", f.allAt(2))
	})
}

func TestZoneWithoutPlatformLearnsFromOtherZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		f.platform.set(func(p *fakePlatform) { p.cutZones["az-1"] = true })
		f.publish(2)
		f.waitFor(3*time.Second, "version 2 everywhere", f.allAt(2))
	})
}

func TestPlatformDownAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 32, 4)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		before := f.platform.readCount()
		time.Sleep(2 * time.Minute)
		// In each zone, 2 readers have 2 watches each. A watch takes 2 s to fail here, then backs
		// off for up to 8 s. Every 2 s another 2 VMs try 2 reads each. That makes some 2.5 reads a
		// second per zone, whatever the number of VMs.
		perSecond := float64(f.platform.readCount()-before) / 120
		t.Logf("%.1f reads a second while the platform is down", perSecond)
		is.True(perSecond < 4*3)
		for _, nd := range f.all() {
			ready, why := nd.manager.Ready()
			is.True(ready) // continues to serve
			is.Equal(why, "")
			age, _ := nd.manager.spread.PlatformAge(time.Now())
			// Ages sent between VMs come out shorter by the transit time at most.
			is.True(age > 110*time.Second && age < 130*time.Second)
		}
		f.publish(2)
		before = f.platform.readCount()
		f.platform.set(func(p *fakePlatform) { p.down = false })
		f.waitFor(12*time.Second, "version 2 everywhere once the platform is back", f.allAt(2))
		is.True(f.platform.readCount()-before < 150) // no thundering herd
	})
}

// A version published at the moment the platform recovers must be in force in time, however long
// the platform was down: after failed reads, readers must not back off for longer than that allows.
func TestVersionPublishedAsThePlatformComesBack(t *testing.T) {
	const attempts = 120 // per duration, because the delays are random
	for _, away := range []time.Duration{3 * time.Second, 7 * time.Second, 12 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			for range attempts {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 6, 2)
					f.platform.set(func(p *fakePlatform) { p.refusing = true })
					time.Sleep(away)
					f.platform.set(func(p *fakePlatform) { p.refusing = false })
					f.publish(2)
					f.waitFor(3*time.Second, "version 2 everywhere", f.allAt(2))
				})
			}
		})
	}
}

// A platform that was away came back from a copy without the latest bundle and gave its revisions out again. The next
// bundle had a revision that the readers knew, and was never in force.
func TestVersionAfterThePlatformCameBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 2)
		var before platform.Value
		f.platform.set(func(p *fakePlatform) { before = p.values[manifestKey] })
		f.publish(2)
		f.waitFor(3*time.Second, "version 2 everywhere", f.allAt(2))
		f.platform.set(func(p *fakePlatform) { p.refusing = true })
		time.Sleep(500 * time.Millisecond) // no other VM takes over
		f.platform.set(func(p *fakePlatform) { p.refusing, p.values[manifestKey] = false, before })
		f.publish(3)
		f.waitFor(3*time.Second, "version 3 everywhere", f.allAt(3))
	})
}

func TestStalePlatformDoesNotLowerVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 2)
		f.publish(3)
		f.waitFor(3*time.Second, "version 3 everywhere", f.allAt(3))
		f.publish(2) // an old state of the platform at a new revision
		fresh := f.add("vm-new", "az-1")
		fresh.start()
		f.waitFor(10*time.Second, "the fresh VM takes the highest from its peers", f.allAt(3))
		time.Sleep(30 * time.Second)
		is := is.New(t)
		is.True(f.allAt(3)())
	})
}

func TestTwoBundlesOfOneVersionConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		one, oneText := f.sign(2, "-one")
		two, twoText := f.sign(2, "-two")
		f.platform.publish(one, oneText)
		time.Sleep(time.Second)
		f.platform.publish(two, twoText)
		higher := bundle.ManifestDigest(one.GetManifest())
		if d := bundle.ManifestDigest(two.GetManifest()); bytes.Compare(d[:], higher[:]) > 0 {
			higher = d
		}
		f.waitFor(5*time.Second, "all settle on the higher digest", func() bool {
			for _, nd := range f.all() {
				if b := nd.manager.content.Bundle(); b == nil || b.Digest != higher {
					return false
				}
			}
			return true
		})
	})
}

func TestFrozenVMResumesAfterSeveralVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 16, 4)
		frozen := f.oneOf("az-1")
		frozen.freeze()
		f.waitFor(30*time.Second, "the frozen VM is gone for the others", f.allSee(frozen.id, goneState))
		for v := uint64(2); v <= 5; v++ {
			f.publish(v)
			f.waitFor(3*time.Second, "a version elsewhere", f.allAt(v))
			time.Sleep(5 * time.Second)
		}
		is.Equal(frozen.version(), uint64(1))
		frozen.start()
		frozen.manager.checkPause(time.Now())
		is.True(!frozen.manager.spread.CaughtUp()) // sends no view from before the pause
		f.waitFor(3*time.Second, "it caught up", frozen.manager.spread.CaughtUp)
		is.Equal(frozen.version(), uint64(5)) // no older version was ever in force
		f.waitFor(10*time.Second, "it is live for the others", f.allSee(frozen.id, liveState))
		for _, nd := range f.all() {
			is.True(f.allSee(nd.id, liveState)()) // it did not judge others by its own silence
		}
	})
}

func TestRestartedVMIsANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8, 2)
		old := f.oneOf("az-1")
		time.Sleep(time.Minute) // its heartbeat is far above that of a new VM
		old.freeze()
		f.waitFor(30*time.Second, "gone", f.allSee(old.id, goneState))
		f.mu.Lock()
		delete(f.byAddr, old.address)
		delete(f.nodes, old.id)
		f.mu.Unlock()
		again := f.add(old.id, old.zone)
		again.start()
		f.waitFor(10*time.Second, "live again", f.allSee(again.id, liveState))
		for _, nd := range f.all() {
			is.Equal(nd.manager.members.Record(again.id).GetIncarnation(), again.manager.cfg.Incarnation)
		}
	})
}

func TestOthersTakeOverFromLostReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, 2)
		time.Sleep(5 * time.Second)
		for _, nd := range f.all() {
			if nd.manager.reader.isActive() {
				nd.freeze()
			}
		}
		f.publish(2)
		f.waitFor(15*time.Second, "others read", f.allAt(2))
		time.Sleep(2 * time.Minute)
		for _, zone := range []string{"az-1", "az-2"} {
			reading := 0
			for _, nd := range f.inZone(zone, true) {
				if nd.isRunning() && nd.manager.reader.isActive() {
					reading++
				}
			}
			is.Equal(reading, 2) // as many as before
		}
	})
}

func TestOthersTakeOverFromReadersCutOffFromThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 2)
		time.Sleep(5 * time.Second)
		f.platform.set(func(p *fakePlatform) {
			for _, nd := range f.all() {
				p.cutVMs[nd.id] = nd.manager.reader.isActive()
			}
		})
		f.publish(2)
		f.waitFor(20*time.Second, "others take over", f.allAt(2))
	})
}

func TestEvidenceAndStatesSpreadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 64, 4)
		f.mu.Lock()
		f.loss = 0.05
		f.mu.Unlock()
		time.Sleep(10 * time.Second) // the updates from the start have spread
		source := f.oneOf("az-3")
		source.manager.spread.MergeEvidence(
			[]*pb.Departure{{Leaf: "leaf-1", Incarnation: 9, Source: pb.DepartureSource_DEPARTURE_SOURCE_GOAWAY, Vm: source.id, Age: durationpb.New(0)}},
			[]*pb.Crash{{RequestDigest: 5, Leaf: "leaf-2", Incarnation: 3}}, time.Now())
		elapsed := f.waitFor(3*time.Second, "departure and crash everywhere", func() bool {
			for _, nd := range f.all() {
				if d, c := nd.manager.evidence.Len(); d != 1 || c != 1 {
					return false
				}
			}
			return true
		})
		t.Logf("evidence everywhere after %s", elapsed)
		gather := &pb.Process{Role: pb.ProcessRole_PROCESS_ROLE_GATHER, Incarnation: 77, State: pb.ProcessState_PROCESS_STATE_READY}
		release := source.manager.processes.streamOpened(gather, time.Now())
		defer release(time.Now())
		source.manager.publishOwnState(time.Now())
		elapsed = f.waitFor(3*time.Second, "the gather's state everywhere", func() bool {
			for _, nd := range f.all() {
				if len(nd.manager.members.Record(source.id).GetProcesses()) != 2 {
					return false
				}
			}
			return true
		})
		t.Logf("state everywhere after %s", elapsed)
		for _, nd := range f.all() {
			is.True(f.allSee(nd.id, liveState)()) // packet loss alone makes no VM gone
		}
	})
}

func TestListSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 16, 4)
		leaver, silent := f.oneOf("az-2"), f.oneOf("az-3")
		f.platform.publishList(f.listJSON(map[string]string{leaver.id: "leaving", silent.id: "absent"}))
		f.waitFor(3*time.Second, "the list says leaving", f.allSee(leaver.id, leavingState))
		time.Sleep(5 * time.Second)
		is := is.New(t)
		is.True(f.allSee(silent.id, liveState)()) // it sends packets, so it is live whatever the list says
	})
}
