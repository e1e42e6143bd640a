package order

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

func TestWitnessDoesNotDecideEvictedTickets(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		w := m.node("vm-3").m.witness
		w.maxNotes = 2
		id := func(seq uint64) *pb.TicketId { return &pb.TicketId{Vm: "vm-9", Incarnation: 9, Sequence: seq} }
		note := func(seq uint64) string {
			resp, outcomeErr := w.noteIntent(&pb.NoteIntentRequest{Ticket: id(seq), WitnessIncarnation: w.incarnation, Caller: "desk", OrderDigest: 1})
			switch {
			case outcomeErr != nil:
				return outcome.ReasonName(outcomeErr.Reason)
			case resp.GetSealed():
				return "sealed"
			}
			return "noted"
		}
		resolve := func(seq uint64) string {
			return stateName(w.resolve(&pb.ResolveRequest{Ticket: id(seq), Caller: "desk"}).GetState())
		}
		is.Equal(note(10), "noted")
		is.Equal(resolve(10), "intent")
		is.Equal(resolve(8), "sealed")
		is.Equal(note(8), "sealed")
		is.Equal(note(12), "overload") // no room for a note or a seal
		is.Equal(resolve(12), "not_known")
		time.Sleep(m.cfg.PeerRetention)
		is.Equal(resolve(10), "not_known") // it may have run
		is.Equal(note(8), "sealed")        // a caller may have been answered "never runs"
		is.Equal(note(9), "sealed")
		is.Equal(resolve(9), "not_known")
		is.Equal(note(12), "noted")
	})
}

func TestDrainCutShortHandsOverIntents(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		m.arm(atExecute, fault{delay: 900 * time.Millisecond})
		go m.sendOrder(i, "p")
		synctest.Wait()
		m.drainAndKill(m.node("vm-1"), 100*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		m.kill(m.node("vm-2")) // the witness
		m.publishActualState()
		is.Equal(m.resolveTicket(i), "unknown incarnation_gone")
		time.Sleep(time.Second)
		is.Equal(m.runsOf(i.text), 1)
	})
}

// TestPeersOverTheNetwork sends an intent that is refused and one that is noted over a real
// connection.
func TestPeersOverTheNetwork(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	w := m.node("vm-2")
	_, handler := burdockv1connect.NewTicketPeerServiceHandler(w.m.Handler())
	server := rpc.NewServer(handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	addr := listener.Addr().(*net.TCPAddr)
	peer := NewHTTPPeers(rpc.NewClient("127.0.0.1")).Peer(&pb.Vm{Address: "127.0.0.1", GatherPort: uint32(addr.Port)})
	req := &pb.NoteIntentRequest{Ticket: &pb.TicketId{Vm: "vm-9", Incarnation: 9, Sequence: 1}, WitnessIncarnation: w.incarnation + 1}
	_, err = peer.NoteIntent(context.Background(), req)
	outcomeErr, ok := outcome.FromConnect(err)
	is.True(ok)
	is.Equal(outcomeErr.Reason, pb.Reason_REASON_INCARNATION_GONE)
	req.WitnessIncarnation = w.incarnation
	resp, err := peer.NoteIntent(context.Background(), req)
	is.NoErr(err)
	is.True(!resp.GetSealed())
	for id := range testZones {
		m.kill(m.node(id))
	}
}

// A gather that resumes from a pause with an order in flight and no fresh view of the fleet refuses
// the order. The witness may have sealed the ticket during the pause, so the gather asks it before
// recording the refusal: both must give the same reason.
func TestRefusalAfterAPauseGivesTheWitnessesReason(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		n := m.node("vm-1")
		sealed, free := m.ticket(), m.ticket()
		is.Equal(m.resolveTicket(sealed), "not_run sealed")
		n.stale = true
		is.Equal(m.sendOrder(sealed, "p"), "not_run sealed")
		is.Equal(m.sendOrder(free, "p"), "not_run paused")
		time.Sleep(time.Second)
		m.setViewGatherEnded("vm-1") // from now on only the witness is asked
		is.Equal(m.resolveTicket(free), "not_run paused")
		is.Equal(m.runsOf(sealed.text)+m.runsOf(free.text), 0)
	})
}
