package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

var start = time.Unix(1000, 0)

func vm(id string, incarnation, heartbeat uint64, state pb.VmState) *pb.Vm {
	return &pb.Vm{
		Id: id, Zone: "az-1", Address: "127.0.0.1", SyncPort: 7402, Incarnation: incarnation,
		Heartbeat: heartbeat, Version: heartbeat, State: state,
	}
}

func newTable() *Table { return New(vm("self", 1, 0, live), start) }

// stateOf returns the resolved state, or unspecified for a VM that the view does not contain.
func stateOf(t *Table, id string) pb.VmState {
	for _, v := range t.View() {
		if v.GetId() == id {
			return v.GetState()
		}
	}
	return pb.VmState_VM_STATE_UNSPECIFIED
}

func TestVMRulesHoldInTheView(t *testing.T) {
	listed := map[Claim][]*pb.Vm{
		ListLive: {vm("x", 0, 0, live)}, ListLeaving: {vm("x", 0, 0, leaving)}, ListAbsent: nil,
	}
	records := map[Claim][]*pb.Vm{
		EvidenceNone: nil, EvidenceLive: {vm("x", 5, 3, live)}, EvidenceLeaving: {vm("x", 5, 3, leaving)},
		EvidenceSuspect: {vm("x", 5, 3, live), vm("x", 5, 3, suspect)},
		EvidenceGone:    {vm("x", 5, 3, live), vm("x", 5, 3, gone)},
	}
	seen := 0
	for _, r := range Rules {
		if r.Subject != SubjectVM {
			continue
		}
		seen++
		t.Run(string(r.One)+", "+string(r.Other), func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			tab.SetList(listed[r.One])
			for _, rec := range records[r.Other] {
				tab.Merge([]*pb.Vm{rec}, start)
			}
			want := r.State
			if r.One == ListAbsent && r.State == gone {
				want = pb.VmState_VM_STATE_UNSPECIFIED // no longer in the view
			}
			is.Equal(stateOf(tab, "x"), want)
		})
	}
	is.New(t).Equal(seen, len(listed)*len(records)-1) // all pairs except the VM that no source mentions
}

func TestSuspicionIsWithdrawnByAHigherHeartbeatAlone(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	tab.Merge([]*pb.Vm{vm("x", 5, 3, live)}, start)
	is.True(!tab.Suspect("x", 2, start)) // a higher heartbeat was received since
	is.True(tab.Suspect("x", 3, start))
	is.True(!tab.Suspect("x", 3, start)) // a repeat is no change
	tab.Merge([]*pb.Vm{vm("x", 5, 3, live)}, start)
	is.Equal(stateOf(tab, "x"), suspect)
	is.Equal(len(tab.Tick(start.Add(SuspicionTimeout-1))), 0)
	is.Equal(tab.Tick(start.Add(SuspicionTimeout)), []string{"x"})
	tab.Merge([]*pb.Vm{vm("x", 5, 3, suspect)}, start)
	is.Equal(tab.Record("x").GetState(), gone)
	res := tab.Merge([]*pb.Vm{vm("x", 5, 4, live)}, start)
	is.Equal(res.Judged, []string{"x"})
	is.Equal(stateOf(tab, "x"), live)
}

func TestOwnRecordIsRefuted(t *testing.T) {
	for name, r := range map[string]*pb.Vm{
		"suspected at the own heartbeat":   vm("self", 1, 1, suspect),
		"gone at a higher heartbeat":       vm("self", 1, 50, gone),
		"live in an earlier incarnation":   vm("self", 99, 50, live),
		"gone in an earlier incarnation":   vm("self", 99, 50, gone),
		"live in the future of this start": vm("self", 1, 50, live),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			res := tab.Merge([]*pb.Vm{r}, start)
			is.True(res.Refuted)
			own := tab.Self()
			is.Equal(own.GetHeartbeat(), r.GetHeartbeat()+1)
			is.Equal(own.GetState(), live)
			is.True(Compare(own, r) > 0)
		})
	}
}

func TestOutdatedRecordOfThisVMIsAnsweredNotRefuted(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	tab.SetOwnState([]*pb.Process{{Role: pb.ProcessRole_PROCESS_ROLE_ENTRY, Incarnation: 3}}, false, start)
	res := tab.Merge([]*pb.Vm{{Id: "self"}}, start) // from a VM that knows only the ID
	is.Equal(res, Result{Outdated: []string{"self"}})
}

func TestObserveHeartbeatKeepsAVersionWhole(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	tab.Merge([]*pb.Vm{vm("x", 5, 3, live)}, start)
	known := tab.ObserveHeartbeat(&pb.Vm{Id: "x", Incarnation: 5, Heartbeat: 7, Version: 3}, start)
	is.True(known)
	is.Equal(tab.Record("x").GetHeartbeat(), uint64(7))
	known = tab.ObserveHeartbeat(&pb.Vm{Id: "x", Incarnation: 5, Heartbeat: 9, Version: 4}, start)
	is.True(!known) // the new version must not be hidden under a higher heartbeat
	is.Equal(tab.Record("x").GetHeartbeat(), uint64(7))
	known = tab.ObserveHeartbeat(&pb.Vm{Id: "x", Incarnation: 6, Heartbeat: 9, Version: 3}, start)
	is.True(!known) // another incarnation
	tab.Suspect("x", 7, start)
	known = tab.ObserveHeartbeat(&pb.Vm{Id: "x", Incarnation: 5, Heartbeat: 9, Version: 3}, start)
	is.True(!known) // the suspicion hides whether it is leaving
}

func TestOnlyChangesAreUpdates(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	entry := &pb.Process{Role: pb.ProcessRole_PROCESS_ROLE_ENTRY, Incarnation: 3, BundleVersion: 1}
	is.True(tab.SetOwnState([]*pb.Process{entry}, false, start))
	newer := proto.Clone(entry).(*pb.Process)
	newer.BundleVersion = 2
	is.True(!tab.SetOwnState([]*pb.Process{newer}, false, start)) // otherwise each bundle would publish an update of every VM
	is.True(tab.SetOwnState([]*pb.Process{newer}, true, start))
	is.Equal(tab.Self().GetState(), leaving)
	beat := vm("x", 5, 3, live)
	is.Equal(tab.Merge([]*pb.Vm{beat}, start).Updated, []string{"x"})
	beat = proto.Clone(beat).(*pb.Vm)
	beat.Heartbeat = 8
	is.Equal(len(tab.Merge([]*pb.Vm{beat}, start).Updated), 0)
}

func TestJudgementOfAnUnknownVMIsIgnored(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	tab.Merge([]*pb.Vm{vm("x", 5, 3, gone)}, start)
	is.Equal(tab.Record("x"), nil)
	tab.SetList([]*pb.Vm{vm("x", 0, 0, live)})
	is.Equal(stateOf(tab, "x"), suspect) // listed, but no record received
	is.True(tab.Suspect("x", 0, start))
	tab.Tick(start.Add(SuspicionTimeout))
	is.Equal(stateOf(tab, "x"), gone)
	p, _ := tab.Roster().Peer("x")
	is.Equal(p.Address, "127.0.0.1:7402") // still reachable at the list's address
}

func TestPauseAndForgetting(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	tab.Merge([]*pb.Vm{vm("x", 5, 3, live)}, start)
	tab.Suspect("x", 3, start)
	woke := start.Add(time.Minute)
	tab.RestartSuspicionTimers(woke)
	is.Equal(len(tab.Tick(woke)), 0)
	is.Equal(len(tab.Tick(woke.Add(SuspicionTimeout))), 1)
	tab.Tick(woke.Add(SuspicionTimeout + GoneRetention))
	is.Equal(tab.Record("x"), nil)
}

// genRecord draws records of a few VMs. As in a fleet, the content of an incarnation at a heartbeat
// is always the same, except for judgements.
func genRecord(t *rapid.T) *pb.Vm {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	state := rapid.SampledFrom([]pb.VmState{live, live, suspect, gone}).Draw(t, "state")
	r := vm(id, rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "heartbeat"), state)
	if judged(r) {
		return WireForm(r)
	}
	return r
}

// orders returns the records of the VMs in the form that Compare orders.
func orders(t *Table) (out []string) {
	for _, id := range []string{"a", "b"} {
		if r := t.Record(id); r != nil {
			out = append(out, WireForm(r).String())
		}
	}
	return out
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		records := rapid.SliceOfN(rapid.Custom(genRecord), 0, 12).Draw(rt, "records")
		shuffled := rapid.Permutation(records).Draw(rt, "shuffled")
		one, other := newTable(), newTable()
		list := []*pb.Vm{vm("a", 0, 0, live), vm("b", 0, 0, live)}
		one.SetList(list)
		other.SetList(list)
		one.Merge(records, start)
		for _, r := range shuffled {
			other.Merge([]*pb.Vm{r}, start)
			other.Merge([]*pb.Vm{r}, start)
		}
		is.Equal(orders(one), orders(other))
		is.Equal(one.Roster().Hash, other.Roster().Hash)
		is.Equal(len(one.Newer(other.Summary())), 0)
		is.Equal(len(one.Wanted(other.Summary())), 0)
	})
}
