package order

import (
	"fmt"
	"slices"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

// told is what one send of a ticket was told.
type told struct {
	end    *outcome.Error
	result string
	// binding is true where the minter had ended and everything believed was the case when the
	// resolver was asked, so that even a final unknown may not change any more.
	binding bool
}

func (a told) kind() pb.OutcomeKind {
	if a.end == nil {
		return pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE
	}
	return a.end.Kind
}

func (a told) String() string {
	if a.end == nil {
		return "answered"
	}
	return fmt.Sprintf("%s %v after %v", outcome.KindName(a.end.Kind), a.end, a.end.RetryAfter)
}

// issued is a ticket with all that was told of it, in order.
type issued struct {
	text   string
	ticket *ticket.Ticket
	minter *node
	told   []told
}

// broken says which part of the promise does not hold, or "".
func (i *issued) broken(runs int) string {
	has := func(k pb.OutcomeKind) bool {
		return slices.ContainsFunc(i.told, func(a told) bool { return a.kind() == k })
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
	return i.changed()
}

// changed tells whether an outcome changed after it was final.
func (i *issued) changed() string {
	final := false
	for _, a := range i.told {
		if a.end == nil && a.result != "done:"+i.text {
			return "answered another order"
		}
		if final && a.kind() != pb.OutcomeKind_OUTCOME_KIND_UNKNOWN {
			return "changed after a final unknown"
		}
		if a.kind() == pb.OutcomeKind_OUTCOME_KIND_UNKNOWN && a.end.RetryAfter == 0 {
			final = final || a.binding || a.end.Step == stepExecute
		}
	}
	return ""
}
