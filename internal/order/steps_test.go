package order

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// pairPeers leads to the witness vm-2 of the tickets of vm-1.
type pairPeers struct {
	PeerHandler
	// cut makes the witness unreachable; noted is called after an intent was noted and its error
	// takes the place of the answer.
	cut   bool
	noted func() error
}

func (p *pairPeers) Peer(*pb.Vm) burdockv1connect.TicketPeerServiceClient { return p }

var errCut = errors.New("cut")

func (p *pairPeers) NoteIntent(ctx context.Context, req *pb.NoteIntentRequest) (*pb.NoteIntentResponse, error) {
	if p.cut {
		return nil, errCut
	}
	resp, err := p.PeerHandler.NoteIntent(ctx, req)
	if p.noted != nil {
		noted := p.noted
		p.noted = nil
		if nerr := noted(); nerr != nil {
			return nil, nerr
		}
	}
	return resp, err
}

func (p *pairPeers) Handover(ctx context.Context, req *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	if p.cut {
		return nil, errCut
	}
	return p.PeerHandler.Handover(ctx, req)
}

// pair is the gather of vm-1 with its witness, and a ticket.
type pair struct {
	*bench
	peers   *pairPeers
	witness *bench
	ticket  string
	// asked is who looks for the ticket's fate without asking vm-1.
	asked *Resolver
	views *fakeSource
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{peers: &pairPeers{}, witness: newBench(noPeers{})}
	p.witness.table.self = identity{"vm-2", 11}
	p.peers.PeerHandler = p.witness.Handler()
	p.bench = newBench(p.peers, gatherVM("vm-1", "az-1", 11), gatherVM("vm-2", "az-1", 11))
	p.views = &fakeSource{view: feed.View{VM: "vm-3", Zone: "az-1", VMs: p.source.view.VMs}}
	p.asked = NewResolver(DefaultConfig(), p.views, p.peers, time.Now)
	var err error
	p.ticket, err = p.ticketFor(t.Context())
	is.New(t).NoErr(err)
	return p
}

// send sends the ticket's order to vm-1; the outcome is nil where it was answered.
func (p *pair) send() *outcome.Error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := p.Order(ctx, orderRequest(p.ticket, "p"))
	return asOutcome(err)
}

// resolve asks the witness and peers about the ticket, with vm-1 gone for good or not.
func (p *pair) resolve(gone bool) *outcome.Error {
	incarnation := uint64(11)
	if gone {
		incarnation = 12
	}
	p.views.set(func(s *fakeSource) {
		s.view.VMs = []*pb.Vm{gatherVM("vm-1", "az-1", incarnation), gatherVM("vm-2", "az-1", 11)}
	})
	tk, _ := ticket.Parse(p.ticket)
	_, err := p.asked.Resolve(context.Background(), tk, "desk")
	return asOutcome(err)
}

func asOutcome(err error) *outcome.Error {
	if err == nil {
		return nil
	}
	return outcome.Classify(err, pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED, "test")
}

// brief is an outcome in a table: kind, reason and whether to come back.
func brief(e *outcome.Error) string {
	if e == nil {
		return "answered"
	}
	s := outcome.KindName(e.Kind) + " " + outcome.ReasonName(e.Reason)
	if e.RetryAfter > 0 {
		s += " come back"
	}
	return s
}

// Each row pauses or cuts the gather at one step of an order. Whoever is told "not run" is right
// for good, and the order runs once at most.
func TestOrderAtEachStep(t *testing.T) {
	for _, tt := range []struct {
		name string
		// at is called before the order is sent and may set hooks.
		at             func(p *pair)
		sent, resolved string
		runs           int
	}{
		{"undisturbed", func(*pair) {}, "answered", "answered", 1},
		{"sealed by its witness before the intent", func(p *pair) { p.resolve(true) },
			"not_run sealed", "not_run sealed", 0},
		{"the witness can't be reached", func(p *pair) { p.peers.cut = true },
			"not_run unreachable come back", "not_run sealed", 0},
		{"the answer to the intent is lost", func(p *pair) { p.peers.noted = func() error { return errCut } },
			"not_run unreachable come back", "not_run unreachable come back", 0},
		{"paused after the intent, closed as unknown meanwhile", func(p *pair) {
			p.peers.noted = func() error {
				time.Sleep(time.Millisecond)
				p.resolve(true)
				p.pauses.paused(time.Now())
				return nil
			}
		}, "unknown incarnation_gone", "unknown incarnation_gone", 0},
		{"paused after the intent beyond the ticket's expiry", func(p *pair) {
			p.peers.noted = func() error { time.Sleep(DefaultConfig().TTL); return nil }
		}, "unknown deadline come back", "not_run ticket_expired", 0},
		{"paused after the last look, before the write", func(p *pair) {
			p.leaves.execute = func(ctx context.Context, leaf string, req *pb.LeafExecuteRequest, started func()) (*pb.LeafExecuteResponse, error) {
				p.resolve(true)
				return executeOrder(ctx, leaf, req, started)
			}
		}, "answered", "unknown incarnation_gone", 1},
		{"written, never answered", func(p *pair) {
			p.leaves.execute = func(ctx context.Context, leaf string, _ *pb.LeafExecuteRequest, started func()) (*pb.LeafExecuteResponse, error) {
				started()
				<-ctx.Done()
				return nil, &upstream.CallError{Leaf: leaf, Wrote: true, Err: ctx.Err()}
			}
		}, "unknown deadline come back", "unknown deadline", 1},
		{"answered after its deadline", func(p *pair) { p.leaves.execute = late(nil) },
			"unknown deadline come back", "answered", 1},
		{"refused by the leaf at its deadline", func(p *pair) {
			p.leaves.execute = late(&upstream.CallError{Wrote: true, Refusal: pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE, Err: errCut})
		}, "unknown deadline come back", "not_run deadline", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = p.Run(ctx) }()
				tt.at(p)
				is.Equal(brief(p.send()), tt.sent)
				time.Sleep(DefaultConfig().TTL) // all that can still happen has
				is.Equal(brief(p.resolve(true)), tt.resolved)
				is.Equal(p.leaves.runsOf(p.ticket), tt.runs)
				p.send()
				is.Equal(p.leaves.runsOf(p.ticket), tt.runs)
			})
		})
	}
}

// late answers an order after its deadline, or refuses it then.
func late(refusal *upstream.CallError) func(context.Context, string, *pb.LeafExecuteRequest, func()) (*pb.LeafExecuteResponse, error) {
	return func(ctx context.Context, leaf string, req *pb.LeafExecuteRequest, started func()) (*pb.LeafExecuteResponse, error) {
		if refusal == nil {
			started()
		}
		time.Sleep(2 * testTimeout)
		if refusal != nil {
			return nil, refusal
		}
		return doneResponse(req), ctx.Err()
	}
}

// A cut between gather and witness when the order ends must not make it unknown later.
func TestOutcomeReachesTheWitnessAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = p.Run(ctx) }()
		p.leaves.execute = func(ctx context.Context, leaf string, req *pb.LeafExecuteRequest, started func()) (*pb.LeafExecuteResponse, error) {
			p.peers.cut = true
			return executeOrder(ctx, leaf, req, started)
		}
		is.Equal(brief(p.send()), "answered")
		time.Sleep(10 * time.Second)
		is.Equal(brief(p.resolve(false)), "unknown unreachable come back")
		p.peers.cut = false
		time.Sleep(time.Second)
		is.Equal(brief(p.resolve(true)), "answered")
	})
}

// A gather that other VMs can't reach may be on the other side of a cut: only its replacement or
// its own word make its tickets unknown for good.
func TestUnreachableGatherIsNotTakenForEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		p.leaves.execute = late(nil)
		is.Equal(brief(p.send()), "unknown deadline come back")
		tk, err := ticket.Parse(p.ticket)
		is.NoErr(err)
		lost := gatherVM("vm-1", "az-1", 11)
		lost.State = pb.VmState_VM_STATE_GONE
		for _, tt := range []struct {
			vms  []*pb.Vm
			want string
		}{
			{[]*pb.Vm{lost, gatherVM("vm-2", "az-1", 11)}, "unknown unreachable come back"},
			{[]*pb.Vm{gatherVM("vm-1", "az-1", 12), gatherVM("vm-2", "az-1", 11)}, "unknown incarnation_gone"},
		} {
			p.views.set(func(s *fakeSource) { s.view.VMs = tt.vms })
			_, err := p.asked.Resolve(t.Context(), tk, "desk")
			is.Equal(brief(asOutcome(err)), tt.want)
		}
		time.Sleep(DefaultConfig().TTL) // the order ends
	})
}
