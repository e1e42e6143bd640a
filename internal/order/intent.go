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

// checkBeforeWrite tells whether the order may be written to a leaf now; nil means yes. It is asked again
// right before each write. An answer of the witness counts only while the process was not paused
// since the question, for others may have decided meanwhile.
//
// A process can still be paused between this and the write. Then the order is written late, which
// is safe: its intent is noted, so nobody was or will be told that it never runs.
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

// noteIsCurrent tells whether the witness noted the intent and the process was not paused since it was
// asked.
func (a *attempt) noteIsCurrent() bool {
	return a.mayBeNoted && !a.m.pauses.LastPause(a.m.now()).After(a.askedAt)
}

// noteIntent asks the witness, also where the order's time is over: after a pause the witness may
// hold a final record, which then counts. Where it can't be asked the order is refused for good: sending it
// without would break the witness's "never run", and a new ticket with another witness is one round
// trip away.
func (a *attempt) noteIntent(ctx context.Context) *pb.TicketRecord {
	stop, err := a.askWitness(ctx)
	if err != nil {
		return a.witnessUnavailable(err)
	}
	return stop
}

// errWitnessEnded says that the ticket's witness isn't known, or has started anew.
var errWitnessEnded = errors.New("the witness has ended")

// askWitness notes the intent at the witness, and returns the record that it holds already, if any. Its
// answer counts only where it has one: an error says that it couldn't be asked.
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

// refuseOrder ends an order that is not tried. The witness is asked first, for after a pause of this process it
// may have sealed the ticket, and both are to give one reason; where it has no record it is told this one.
func (m *Manager) refuseOrder(t *ticket.Ticket, e *entry, outcomeErr *outcome.Error) {
	a := &attempt{m: m, t: t, e: e}
	record := a.finalRecord(outcomeErr)
	if t.HasWitness() {
		switch held, err := a.askWitness(context.Background()); {
		case err != nil:
			m.log.Info("order refused without its witness", zap.Uint64("ticket", t.Sequence), zap.String("witness", t.WitnessVM),
				zap.String("reason", outcome.ReasonName(outcomeErr.Reason)), zap.Error(err))
		case held != nil:
			record = held
		}
	}
	m.finishAttempt(a, record)
}

// finishAttempt makes the record of an attempt final, and tells the witness where that knows of the order.
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
