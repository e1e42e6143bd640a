package order

import (
	"fmt"
	"slices"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

// answer is the answer to one send of a ticket.
type answer struct {
	outcomeErr *outcome.Error
	result     string
	// mustBeFinal is true if the minter had ended and the view was accurate when the resolver was
	// asked, so that even a final unknown may not change any more.
	mustBeFinal bool
}

func (a answer) kind() pb.OutcomeKind {
	if a.outcomeErr == nil {
		return pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE
	}
	return a.outcomeErr.Kind
}

func (a answer) String() string {
	if a.outcomeErr == nil {
		return "answered"
	}
	return fmt.Sprintf("%s %v after %v", outcome.KindName(a.outcomeErr.Kind), a.outcomeErr, a.outcomeErr.RetryAfter)
}

// mintedTicket is a ticket with all answers to its sends, in order.
type mintedTicket struct {
	text    string
	ticket  *ticket.Ticket
	minter  *node
	answers []answer
}

// violation returns which guarantee is broken, or "".
func (i *mintedTicket) violation(runs int) string {
	has := func(k pb.OutcomeKind) bool {
		return slices.ContainsFunc(i.answers, func(a answer) bool { return a.kind() == k })
	}
	answered := has(pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
	notRun := has(pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	switch {
	case runs > 1:
		return "ran more than once"
	case notRun && runs != 0:
		return "not_run, but it ran"
	case answered && runs != 1:
		return "answered, but it did not run"
	}
	return i.changedAnswer()
}

// changedAnswer returns how an answer is wrong or changed after it was final, or "".
func (i *mintedTicket) changedAnswer() string {
	final := false
	for _, a := range i.answers {
		if a.outcomeErr == nil && a.result != "done:"+i.text {
			return "answered another order"
		}
		if final && a.kind() != pb.OutcomeKind_OUTCOME_KIND_UNKNOWN {
			return "changed after a final unknown"
		}
		if a.kind() == pb.OutcomeKind_OUTCOME_KIND_UNKNOWN && a.outcomeErr.RetryAfter == 0 {
			final = final || a.mustBeFinal || a.outcomeErr.Step == stepExecute
		}
	}
	return ""
}
