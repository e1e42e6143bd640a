package ctl

import (
	"fmt"
	"io"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// outcomeReport describes how a request ended.
type outcomeReport struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason,omitempty"`
	Step   string `json:"step,omitempty"`
	Peer   string `json:"peer,omitempty"`
	// RetryAfter is the delay before a retry, in seconds, 0 if a retry makes no sense.
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
	Message    string  `json:"message,omitempty"`
	RequestID  string  `json:"request_id,omitempty"`
}

func newOutcomeReport(o *pb.Outcome) outcomeReport {
	r := outcomeReport{
		Kind: outcome.KindName(o.GetKind()), Step: o.GetStep(), Peer: o.GetPeer(),
		RetryAfter: o.GetRetryAfter().AsDuration().Seconds(),
		Message:    o.GetMessage(), RequestID: o.GetRequestId(),
	}
	if o.GetReason() != pb.Reason_REASON_UNSPECIFIED {
		r.Reason = outcome.ReasonName(o.GetReason())
	}
	return r
}

// writeText prints the outcome and omits empty fields.
func (r outcomeReport) writeText(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "outcome\t%s\n", r.Kind)
	for _, line := range []struct{ name, value string }{
		{"reason", r.Reason}, {"step", r.Step}, {"peer", r.Peer}, {"message", r.Message}, {"request", r.RequestID},
	} {
		if line.value != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\n", line.name, line.value)
		}
	}
	if r.RetryAfter > 0 {
		_, _ = fmt.Fprintf(t, "retry after\t%gs\n", r.RetryAfter)
	}
	_ = t.Flush()
}

// failureReport describes a request that was not answered.
type failureReport struct {
	Outcome outcomeReport `json:"outcome"`
	// Ticket is the ticket of an order, empty for searches.
	Ticket string `json:"ticket,omitempty"`
}

func (r failureReport) writeText(w io.Writer) {
	r.Outcome.writeText(w)
	if r.Ticket != "" && r.Outcome.Kind == outcome.KindName(pb.OutcomeKind_OUTCOME_KIND_UNKNOWN) {
		_, _ = fmt.Fprintf(w, "The order may have run. Send it again only under the same ticket: it runs at most once.\n")
	}
}

// requestError prints the outcome that err carries and returns the exit for it. An error without an outcome
// means that the entry didn't answer.
func (a *App) requestError(entry, ticket string, err error) error {
	o, ok := outcome.Detail(err)
	if !ok {
		return reachError(entry, err)
	}
	if err := a.print(failureReport{newOutcomeReport(o), ticket}); err != nil {
		return err
	}
	if exit := outcomeExit(o.GetKind()); exit != nil {
		return exit
	}
	return &exitError{code: ExitFailure}
}
