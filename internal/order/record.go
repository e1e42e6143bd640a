package order

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Digest returns the digest that distinguishes the orders of one ticket: xxhash64 over service,
// kind, key and payload, each prefixed by its length. It is never 0.
func Digest(o *pb.OrderRequest) uint64 {
	h := xxhash.New()
	var length [8]byte
	for _, s := range []string{o.GetService(), o.GetKind(), o.GetKey(), o.GetPayload()} {
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(s)
	}
	return max(h.Sum64(), 1)
}

// answeredRecord returns the final record of an order that a leaf executed.
func answeredRecord(id *pb.TicketId, e *entry, resp *pb.OrderResponse) *pb.TicketRecord {
	r := finalRecord(id, e, nil)
	r.Response = resp
	r.Outcome = resp.GetOutcome()
	return r
}

// finalRecord returns the final record of a ticket, with the outcome of outcomeErr unless that is
// nil.
func finalRecord(id *pb.TicketId, e *entry, outcomeErr *outcome.Error) *pb.TicketRecord {
	r := &pb.TicketRecord{
		Ticket: id, State: pb.TicketState_TICKET_STATE_DONE,
		Caller: e.caller, OrderDigest: e.digest,
	}
	if outcomeErr != nil {
		r.Outcome = outcomeErr.Proto("")
	}
	return r
}

// Replay returns the response or error that a send receives for a final record. Errors are
// *outcome.Error.
func Replay(r *pb.TicketRecord, requestID string, replayed bool) (*pb.OrderResponse, error) {
	if outcomeErr := outcome.FromProto(r.GetOutcome()); outcomeErr != nil {
		return nil, outcomeErr
	}
	if r.GetResponse().GetOutcome() == nil {
		return nil, outcome.Unknown(pb.Reason_REASON_INTERNAL, stepExecute, "the record holds no answer")
	}
	resp, _ := proto.Clone(r.GetResponse()).(*pb.OrderResponse)
	resp.Replayed = replayed
	resp.RequestId = requestID
	resp.Outcome.RequestId = requestID
	return resp, nil
}
