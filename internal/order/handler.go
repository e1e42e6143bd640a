package order

import (
	"context"
	"strings"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// PeerHandler serves requests of other gathers and of entries about tickets.
type PeerHandler struct {
	m *Manager
}

var _ burdockv1connect.TicketPeerServiceHandler = PeerHandler{}

// Handler returns the TicketPeerService of this gather.
func (m *Manager) Handler() PeerHandler { return PeerHandler{m} }

// NoteIntent implements TicketPeerServiceHandler.
func (h PeerHandler) NoteIntent(_ context.Context, req *pb.NoteIntentRequest) (*pb.NoteIntentResponse, error) {
	resp, outcomeErr := h.m.witness.noteIntent(req)
	h.m.metrics.countNote(resp, outcomeErr)
	if outcomeErr != nil {
		return nil, outcome.ToConnect(outcomeErr, "")
	}
	return resp, nil
}

// Resolve implements TicketPeerServiceHandler. Only the ticket's witness, in the incarnation that
// the ticket names, seals the ticket: no order runs without a note of that witness, so its notes
// decide.
func (h PeerHandler) Resolve(_ context.Context, req *pb.ResolveRequest) (*pb.ResolveResponse, error) {
	resp := h.m.archive.lookup(req.GetTicket(), req.GetCaller())
	if !decided(resp) && req.GetWitnessIncarnation() == h.m.witness.incarnation {
		if noted := h.m.witness.resolve(req); noted.GetState() != pb.TicketState_TICKET_STATE_NOT_KNOWN {
			resp = noted
		}
	}
	h.m.metrics.countResolve(resp.GetState())
	return resp, nil
}

// Handover implements TicketPeerServiceHandler. A request without a total comes from a running
// incarnation and holds outcomes of single orders.
func (h PeerHandler) Handover(_ context.Context, req *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	for _, r := range req.GetRecords() {
		h.m.witness.recordOutcome(r)
	}
	if req.GetRecordsTotal() == 0 && !req.GetSealedAll() {
		return &pb.HandoverResponse{}, nil
	}
	if outcomeErr := h.m.archive.accept(req); outcomeErr != nil {
		return nil, outcome.ToConnect(outcomeErr, "")
	}
	return &pb.HandoverResponse{}, nil
}

func stateName(s pb.TicketState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "TICKET_STATE_"))
}
