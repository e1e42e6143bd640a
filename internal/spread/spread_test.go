package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/content"
	"github.com/burdockplank/burdockplank/internal/evidence"
	"github.com/burdockplank/burdockplank/internal/membership"
	"github.com/burdockplank/burdockplank/internal/notify"
)

var start = time.Unix(1000, 0)

func vm(id, zone string) *pb.Vm {
	return &pb.Vm{
		Id: id, Zone: zone, Address: "127.0.0.1", SyncPort: 7402, Incarnation: 1 << 60, Heartbeat: 5, Version: 1,
		State: pb.VmState_VM_STATE_LIVE,
		Processes: []*pb.Process{
			{Role: pb.ProcessRole_PROCESS_ROLE_ENTRY, Incarnation: 1 << 61, State: pb.ProcessState_PROCESS_STATE_READY},
			{Role: pb.ProcessRole_PROCESS_ROLE_GATHER, Incarnation: 1 << 62, State: pb.ProcessState_PROCESS_STATE_READY},
		},
	}
}

// recordingTransport records the packets that a manager sends.
type recordingTransport struct {
	Transport
	to      []string
	packets [][]byte
}

func (s *recordingTransport) Send(to string, packet []byte) error {
	s.to, s.packets = append(s.to, to), append(s.packets, packet)
	return nil
}

// last decodes the most recent packet.
func (s *recordingTransport) last(t *testing.T) *pb.Digest {
	t.Helper()
	var d pb.Digest
	if err := proto.Unmarshal(s.packets[len(s.packets)-1], &d); err != nil {
		t.Fatal(err)
	}
	return &d
}

// newManager returns a manager that knows n other VMs and has caught up.
func newManager(n int) (*Manager, *recordingTransport) {
	out := new(recordingTransport)
	changed := notify.New()
	m := New(Config{
		Fleet: "test", Self: "self", Zone: "az-1", Members: membership.New(vm("self", "az-1"), start),
		Evidence: evidence.New(), Content: content.New(bundle.NewStore(bundle.Trust{}, nil), bundle.Trust{}, changed),
		Transport: out, CheckPause: func(time.Time) {}, Changed: changed, Log: zap.NewNop(),
	})
	var vms []*pb.Vm
	for i := range n {
		vms = append(vms, vm(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("az-%d", i%4+1)))
	}
	m.mergeExchanged(vms, nil, nil, start)
	m.SetCaughtUp(0)
	return m, out
}

// packetFrom returns a packet from a VM that newManager knows.
func packetFrom(id string) *pb.Digest {
	return &pb.Digest{Fleet: "test", From: id, Incarnation: 1 << 60, Heartbeat: 6, Version: 1}
}

func (m *Manager) handleDigest(t *testing.T, d *pb.Digest, now time.Time) {
	t.Helper()
	packet, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	m.handlePacket(packet, now)
}

func TestPacketsStayShortAndCarryAllUpdatesInTurn(t *testing.T) {
	is := is.New(t)
	m, out := newManager(100)
	var crashes []*pb.Crash
	for i := range uint64(50) {
		crashes = append(crashes, &pb.Crash{RequestDigest: i, Leaf: "a-leaf-with-a-long-name-0-a", Incarnation: 1 << 60})
	}
	m.MergeEvidence(nil, crashes, start)
	seen := make(map[string]bool)
	for i := range 40 {
		m.send(membership.Peer{}, message{replyWanted: true, include: []string{"unknown"}}, start.Add(time.Duration(i)*time.Minute))
		is.True(len(out.packets[i]) <= MaxPacketBytes+64)
		d := out.last(t)
		for _, r := range d.GetNews() {
			seen[r.GetId()] = true
		}
		for _, c := range d.GetCrashes() {
			seen[fmt.Sprint(c.GetRequestDigest())] = true
		}
	}
	is.Equal(len(seen), 100+50+1)
}

func TestUpdatesAreBoundedByBytes(t *testing.T) {
	is := is.New(t)
	m, out := newManager(500)
	for range 500 {
		m.send(membership.Peer{}, message{}, start)
	}
	total := 0
	for _, p := range out.packets {
		total += len(p)
	}
	base := len(out.packets[len(out.packets)-1])
	is.True(total < updateBurstBytes+500*base+MaxPacketBytes)
}

func TestUpdatesStopWhenPeersKnow(t *testing.T) {
	is := is.New(t)
	m, out := newManager(8)
	m.cfg.Members.Suspect("vm-001", 5, start)
	m.updates.addVMs(membership.Result{Judged: []string{"vm-001"}})
	d := packetFrom("vm-000")
	d.MembersHash, d.EvidenceHash = m.cfg.Members.Roster().Hash, m.cfg.Evidence.Hash(start)
	for range sendsFor(8) {
		m.handleDigest(t, d, start)
	}
	m.send(membership.Peer{}, message{}, start)
	updates := out.last(t).GetNews()
	is.Equal(len(updates), 1) // the suspicion, which no hash covers
	is.Equal(updates[0].GetId(), "vm-001")
	is.Equal(updates[0].GetAddress(), "") // in its short form
}

func TestSilentVMIsProbedIndirectlyThenSuspected(t *testing.T) {
	is := is.New(t)
	m, out := newManager(8)
	m.probes.start("vm-000", 5, start)
	m.checkProbes(start.Add(probeTimeout - 1))
	is.Equal(len(out.packets), 0)
	m.checkProbes(start.Add(probeTimeout))
	is.Equal(len(out.packets), 1+probeHelpers)
	is.Equal(out.last(t).GetProbe(), "vm-000")
	m.checkProbes(start.Add(probeTimeout + indirectTimeout))
	is.Equal(m.cfg.Members.Record("vm-000").GetState(), pb.VmState_VM_STATE_SUSPECT)
}

func TestProbeEndsByAnyHigherHeartbeat(t *testing.T) {
	for name, hear := range map[string]func(*testing.T, *Manager){
		"its own packet": func(t *testing.T, m *Manager) { m.handleDigest(t, packetFrom("vm-000"), start) },
		"through another": func(t *testing.T, m *Manager) {
			d := packetFrom("vm-001")
			higher := vm("vm-000", "az-1")
			higher.Heartbeat = 9
			d.News = []*pb.Vm{higher}
			m.handleDigest(t, d, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m, _ := newManager(8)
			m.probes.start("vm-000", 5, start)
			m.checkProbes(start.Add(probeTimeout))
			hear(t, m)
			m.checkProbes(start.Add(probeTimeout + indirectTimeout))
			is.New(t).Equal(m.cfg.Members.Record("vm-000").GetState(), pb.VmState_VM_STATE_LIVE)
		})
	}
}

func TestHelperRelaysTheAnswer(t *testing.T) {
	is := is.New(t)
	m, out := newManager(8)
	request := packetFrom("vm-000")
	request.Probe = "vm-001"
	m.handleDigest(t, request, start)
	is.Equal(out.last(t).GetProbe(), "vm-001") // the target learns that it is suspected
	m.handleDigest(t, packetFrom("vm-001"), start.Add(time.Millisecond))
	is.Equal(out.last(t).GetNews()[0].GetId(), "vm-001") // and its higher heartbeat goes to the requester
	is.Equal(out.last(t).GetNews()[0].GetHeartbeat(), uint64(6))
}

func TestForeignAndOutdatedPacketsAreIgnored(t *testing.T) {
	is := is.New(t)
	m, out := newManager(2)
	other := packetFrom("vm-000")
	other.Fleet, other.ReplyWanted = "other", true
	m.handleDigest(t, other, start)
	m.handlePacket([]byte("junk"), start)
	request := packetFrom("vm-000")
	request.ReplyWanted = true
	m.HandlePause(start)
	m.handleDigest(t, request, start) // it may have waited in the buffer during the pause
	is.Equal(len(out.packets), 0)
	m.SetCaughtUp(0) // from before the pause
	is.True(!m.CaughtUp())
	m.SetCaughtUp(1)
	m.handleDigest(t, request, start)
	is.Equal(len(out.packets), 1)
}

func TestExchangeIsDueOnlyWhenHashesGoOnDiffering(t *testing.T) {
	is := is.New(t)
	var d hashDifference
	is.True(!d.observe(false, start))
	is.True(!d.observe(false, start.Add(minExchangeDelay-1)))
	is.True(!d.observe(true, start.Add(minExchangeDelay))) // updates in flight resolved it
	is.True(!d.observe(false, start.Add(minExchangeDelay)))
	now := start.Add(2 * minExchangeDelay)
	is.True(d.observe(false, now))
	is.True(!d.observe(false, now.Add(2*minExchangeDelay-1))) // the delay doubles
	is.True(d.observe(false, now.Add(2*minExchangeDelay)))
}

// Covers the exchange of answered crashes: a peer that holds a crash but not the report that its
// request was answered must receive that report.
func TestExchangeGivesTheWordOfAnAnswer(t *testing.T) {
	is := is.New(t)
	m, _ := newManager(1)
	crash := func(answered bool) []*pb.Crash {
		return []*pb.Crash{{RequestDigest: 1, Leaf: "a", Incarnation: 1, Age: durationpb.New(0), Answered: answered}}
	}
	m.MergeEvidence(nil, crash(true), time.Now())
	for _, held := range []bool{false, true} {
		resp, err := m.Exchange(t.Context(), &pb.ExchangeRequest{Fleet: "test", AllEvidence: true, Crashes: crash(held)})
		is.NoErr(err)
		is.Equal(len(resp.GetCrashes()), map[bool]int{false: 1, true: 0}[held])
	}
}

// A VM restarted while the platform was down knew no address of a peer, although all peers contacted
// it.
func TestGoneVMLearnsWhoContactsIt(t *testing.T) {
	is := is.New(t)
	m, out := newManager(1)
	gone := vm("vm-000", "az-1")
	gone.State = pb.VmState_VM_STATE_GONE
	m.cfg.Members.Merge([]*pb.Vm{gone}, start)
	m.contactGone(start)
	named := make(map[string]string)
	for _, v := range out.last(t).GetNews() {
		named[v.GetId()] = v.GetAddress()
	}
	is.Equal(named["self"], "127.0.0.1")
	_, reported := named["vm-000"]
	is.True(reported) // so it learns that it is judged gone
}

// Agreement within one zone must not hide that two zones differ permanently.
func TestExchangeIsDueWhileZonesDifferThoughOneAgrees(t *testing.T) {
	is := is.New(t)
	d := make(zoneDifferences)
	for at := time.Duration(0); at < minExchangeDelay; at += contactPeriod {
		is.True(!d.observe("az-1", true, start.Add(at)))
		is.True(!d.observe("az-2", false, start.Add(at)))
	}
	is.Equal(d.since(), start)
	is.True(!d.observe("az-1", true, start.Add(minExchangeDelay)))
	is.True(d.observe("az-2", false, start.Add(minExchangeDelay)))
}

// An item that two zones know must still be sent to the others. It used to be dropped from the
// queue before it reached them.
func TestUpdatesAreKeptUntilEachZoneHasThem(t *testing.T) {
	is := is.New(t)
	n := newUpdateQueue()
	n.addEvidence(evidence.Updates{Departures: []evidence.DepartureKey{{Leaf: "leaf", Incarnation: 4}}})
	q := sendQuota{sends: 3, zones: []string{"az-1", "az-2", "az-3"}}
	for _, zone := range []string{"az-1", "az-1", "az-2"} {
		n.markKnown(false, true, zone, q)
		is.Equal(len(n.items), 1)
	}
	n.markKnown(false, true, "az-3", q)
	is.Equal(len(n.items), 0)
}
