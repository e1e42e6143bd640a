package order

import (
	"context"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const stepIntent = "order.intent"

// clear tells whether the order may be written to a leaf now; nil means yes. It is asked again
// right before each write. An answer of the witness counts only while the process was not paused
// since the question, for others may have decided meanwhile.
//
// A process can still be paused between this and the write. Then the order is written late, which
// is safe: its intent is noted, so nobody was or will be told that it never runs.
func (a *attempt) clear(ctx context.Context) *pb.TicketRecord {
	for a.t.HasWitness() && !a.current() {
		if stop := a.noteIntent(ctx); stop != nil {
			return stop
		}
	}
	if a.m.table.expired(a.e) {
		return a.ended(outcome.NotRun(pb.Reason_REASON_TICKET_EXPIRED, stepIntent, "the ticket expired before its order was sent, take a new one"))
	}
	if ctx.Err() != nil {
		return a.ended(outcome.NotRun(pb.Reason_REASON_DEADLINE, stepIntent, "the time ran out before the order was sent, take a new ticket"))
	}
	return nil
}

// current tells whether the witness noted the intent and the process was not paused since it was
// asked.
func (a *attempt) current() bool {
	return a.noted && !a.m.pauses.LastPause(a.m.now()).After(a.asked)
}

// noteIntent asks the witness, also where the order's time is over: after a pause the witness may
// hold a final record, which then counts. Where it can't be asked the order is refused for good: sending it
// without would break the witness's "never run", and a new ticket with another witness is one round
// trip away.
func (a *attempt) noteIntent(ctx context.Context) *pb.TicketRecord {
	vm := findVM(a.m.source.Current(), a.t.WitnessVM)
	if vm == nil || gatherOf(vm).GetIncarnation() != a.t.WitnessIncarnation {
		return a.noWitness(nil)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.m.cfg.NoteTimeout)
	defer cancel()
	a.asked = a.m.now()
	a.noted = true
	resp, err := a.m.peers.Peer(vm).NoteIntent(ctx, &pb.NoteIntentRequest{
		Ticket: a.m.table.id(a.t.Sequence), WitnessIncarnation: a.t.WitnessIncarnation,
		Expires: timestamppb.New(a.t.Expires), OrderDigest: a.e.digest, Caller: a.e.caller,
	})
	switch {
	case err != nil:
		a.m.witnesses.Failed(a.t.WitnessVM)
		return a.noWitness(err)
	case resp.GetSealed():
		return a.ended(outcome.NotRun(pb.Reason_REASON_SEALED, stepIntent, "the ticket was sealed, take a new one").At(a.t.WitnessVM))
	}
	return resp.GetRecord()
}

func (a *attempt) noWitness(cause error) *pb.TicketRecord {
	return a.ended(outcome.NotRun(pb.Reason_REASON_UNREACHABLE, stepIntent,
		"the ticket's witness can't be asked and nothing was sent, take a new ticket").
		At(a.t.WitnessVM).After(a.m.cfg.RetryAfter).Because(cause))
}
