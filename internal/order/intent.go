package order

import (
	"context"
	"errors"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const stepIntent = "order.intent"

// checkBeforeWrite decides whether the order may be written to a leaf now. It returns nil if it
// may, otherwise the final record of the order. It runs again right before each write. An answer of
// the witness is valid only if the process has not been paused since the request, because others
// may have decided on the ticket during a pause.
//
// The process can still be paused between this check and the write. The order is then written late,
// which is safe: its intent is noted, so nobody has been or will be informed that it never runs.
func (a *attempt) checkBeforeWrite(ctx context.Context) *pb.TicketRecord {
	for a.t.HasWitness() && !a.noteIsCurrent() {
		if stop := a.noteIntent(ctx); stop != nil {
			return stop
		}
	}
	if a.m.table.expired(a.e) {
		return a.finalRecord(outcome.NotRun(pb.Reason_REASON_TICKET_EXPIRED, stepIntent, "the ticket expired before its order was sent, take a new one"))
	}
	if ctx.Err() != nil {
		return a.finalRecord(outcome.NotRun(pb.Reason_REASON_DEADLINE, stepIntent, "the time ran out before the order was sent, take a new ticket"))
	}
	return nil
}

// noteIsCurrent reports whether the witness has noted the intent and the process has not been
// paused since the request.
func (a *attempt) noteIsCurrent() bool {
	return a.mayBeNoted && !a.m.pauses.LastPause(a.m.now()).After(a.askedAt)
}

// noteIntent notes the intent at the witness, and returns the final record of the order if it must
// not be sent. It asks even after the deadline of the order, because after a pause the witness may
// hold a final record, which then takes precedence. If the witness can't be reached, the order is
// refused for good: sending it without a note would break the witness's "never run", and a new
// ticket with another witness costs one round trip.
func (a *attempt) noteIntent(ctx context.Context) *pb.TicketRecord {
	stop, err := a.askWitness(ctx)
	if err != nil {
		return a.witnessUnavailable(err)
	}
	return stop
}

// errWitnessEnded reports that the ticket's witness is unknown or has restarted.
var errWitnessEnded = errors.New("witness is not in the view or has restarted")

// askWitness notes the intent at the witness and returns the final record that the witness already
// holds, if any. An error means that the witness gave no answer.
func (a *attempt) askWitness(ctx context.Context) (*pb.TicketRecord, error) {
	vm := findVM(a.m.source.Current(), a.t.WitnessVM)
	if vm == nil || gatherOf(vm).GetIncarnation() != a.t.WitnessIncarnation {
		return nil, errWitnessEnded
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.m.cfg.NoteTimeout)
	defer cancel()
	a.askedAt = a.m.now()
	a.mayBeNoted = true
	resp, err := a.m.peers.Peer(vm).NoteIntent(ctx, &pb.NoteIntentRequest{
		Ticket: a.m.table.ticketID(a.t.Sequence), WitnessIncarnation: a.t.WitnessIncarnation,
		Expires: timestamppb.New(a.t.Expires), OrderDigest: a.e.digest, Caller: a.e.caller,
	})
	if err != nil {
		a.m.witnessSelector.MarkFailed(a.t.WitnessVM)
		return nil, err
	}
	if resp.GetSealed() {
		return a.finalRecord(outcome.NotRun(pb.Reason_REASON_SEALED, stepIntent, "the ticket was sealed, take a new one").WithPeer(a.t.WitnessVM)), nil
	}
	return resp.GetRecord(), nil
}

// refuseOrder records the refusal of an order that is not sent. It asks the witness first, because
// the witness may have sealed the ticket during a pause of this process, and both must give the
// same reason. A witness without a record is notified of this one.
func (m *Manager) refuseOrder(t *ticket.Ticket, e *entry, outcomeErr *outcome.Error) {
	a := &attempt{m: m, t: t, e: e}
	record := a.finalRecord(outcomeErr)
	if t.HasWitness() {
		switch held, err := a.askWitness(context.Background()); {
		case err != nil:
			m.log.Info("order refused; witness did not answer", zap.Uint64("ticket", t.Sequence), zap.String("witness", t.WitnessVM),
				zap.String("reason", outcome.ReasonName(outcomeErr.Reason)), zap.Error(err))
		case held != nil:
			record = held
		}
	}
	m.finishAttempt(a, record)
}

// finishAttempt makes the record of an attempt final, and notifies the witness if it may have noted
// the order.
func (m *Manager) finishAttempt(a *attempt, r *pb.TicketRecord) {
	m.finish(a.t, a.e, r)
	if a.mayBeNoted {
		m.spread(identity{a.t.WitnessVM, a.t.WitnessIncarnation}, r)
	}
}

func (a *attempt) witnessUnavailable(cause error) *pb.TicketRecord {
	return a.finalRecord(outcome.NotRun(pb.Reason_REASON_UNREACHABLE, stepIntent,
		"the ticket's witness can't be asked and nothing was sent, take a new ticket").
		WithPeer(a.t.WitnessVM).WithRetryAfter(a.m.cfg.RetryAfter).WithCause(cause))
}
