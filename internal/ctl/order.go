package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// OrderTarget holds the flags for the service and the kind of an order.
type OrderTarget struct {
	Service string `required:"" help:"Service that executes the order."`
	Kind    string `required:"" help:"Kind of order, as declared in the bundle."`
}

// OrderContent holds the flags for the content of an order.
type OrderContent struct {
	Key     string `required:"" help:"Key that places the order on a shard."`
	Payload string `required:"" help:"What to do, for the service's leaves."`
}

// OrderTicketCmd gets a ticket for one order and prints it.
type OrderTicketCmd struct {
	CallerFlags
	OrderTarget
}

// Run implements the command.
func (c *OrderTicketCmd) Run(ctx context.Context, app *App) error {
	_, err := app.ticket(ctx, &c.CallerFlags, c.OrderTarget)
	return err
}

// OrderSendCmd sends an order under a ticket.
type OrderSendCmd struct {
	CallerFlags
	OrderTarget
	OrderContent
	Ticket string `required:"" help:"Ticket that 'order ticket' or 'order run' printed."`
}

// Run implements the command.
func (c *OrderSendCmd) Run(ctx context.Context, app *App) error {
	return app.send(ctx, &c.CallerFlags, c.OrderTarget, c.OrderContent, c.Ticket)
}

// OrderRunCmd gets a ticket, prints it and sends the order.
type OrderRunCmd struct {
	CallerFlags
	OrderTarget
	OrderContent
}

// Run implements the command. It prints the ticket before it sends the order, so that the order can be sent
// again under the same ticket after any failure.
func (c *OrderRunCmd) Run(ctx context.Context, app *App) error {
	ticket, err := app.ticket(ctx, &c.CallerFlags, c.OrderTarget)
	if err != nil {
		return err
	}
	return app.send(ctx, &c.CallerFlags, c.OrderTarget, c.OrderContent, ticket)
}

// ticketReport describes a ticket for one order.
type ticketReport struct {
	Ticket    string    `json:"ticket"`
	Expires   time.Time `json:"expires"`
	RequestID string    `json:"request_id"`
}

func (r ticketReport) writeText(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "ticket\t%s\nexpires\t%s\n", r.Ticket, r.Expires.Format(time.RFC3339))
	_ = t.Flush()
}

// ticket gets a ticket and prints it.
func (a *App) ticket(ctx context.Context, f *CallerFlags, target OrderTarget) (string, error) {
	client, err := f.client(a)
	if err != nil {
		return "", err
	}
	resp, err := client.IssueTicket(ctx, &pb.IssueTicketRequest{Service: target.Service, Kind: target.Kind})
	if err != nil {
		return "", a.requestError(f.Entry, "", err)
	}
	r := ticketReport{resp.GetTicket(), resp.GetExpires().AsTime(), resp.GetRequestId()}
	return r.Ticket, a.print(r)
}

// orderReport describes an answered order.
type orderReport struct {
	Outcome outcomeReport `json:"outcome"`
	Ticket  string        `json:"ticket"`
	Result  string        `json:"result"`
	// Replayed is true if the outcome was recorded for an earlier send under the same ticket.
	Replayed      bool   `json:"replayed"`
	Leaf          string `json:"leaf"`
	BundleVersion uint64 `json:"bundle_version"`
	RequestID     string `json:"request_id"`
}

func (r orderReport) writeText(w io.Writer) {
	r.Outcome.writeText(w)
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "result\t%s\nleaf\t%s\nbundle\t%d\nrequest\t%s\n", r.Result, r.Leaf, r.BundleVersion, r.RequestID)
	if r.Replayed {
		_, _ = fmt.Fprintln(t, "replayed\tyes: recorded for an earlier send of the ticket, not run again")
	}
	_ = t.Flush()
}

// send sends an order and prints its outcome. If no answer arrives and the order may have reached the entry,
// the outcome is unknown to the caller.
func (a *App) send(ctx context.Context, f *CallerFlags, target OrderTarget, content OrderContent, ticket string) error {
	client, err := f.client(a)
	if err != nil {
		return err
	}
	resp, err := client.Order(ctx, &pb.OrderRequest{
		Ticket: ticket, Service: target.Service, Kind: target.Kind, Key: content.Key, Payload: content.Payload,
	})
	if err != nil {
		return a.orderError(f.Entry, ticket, err)
	}
	r := orderReport{
		Outcome: newOutcomeReport(resp.GetOutcome()), Ticket: ticket, Result: resp.GetResult(),
		Replayed: resp.GetReplayed(), Leaf: resp.GetLeaf(), BundleVersion: resp.GetBundleVersion(),
		RequestID: resp.GetRequestId(),
	}
	if err := a.print(r); err != nil {
		return err
	}
	return outcomeExit(resp.GetOutcome().GetKind())
}

// orderError prints the outcome of a failed order and returns the exit for it. An error without an outcome
// counts as unknown, unless the request was never sent.
func (a *App) orderError(entry, ticket string, err error) error {
	if _, ok := outcome.Detail(err); ok || neverSent(err) {
		return a.requestError(entry, ticket, err)
	}
	r := failureReport{Ticket: ticket, Outcome: outcomeReport{
		Kind:    outcome.KindName(pb.OutcomeKind_OUTCOME_KIND_UNKNOWN),
		Reason:  outcome.ReasonName(pb.Reason_REASON_UNREACHABLE),
		Step:    "ctl.order",
		Peer:    entry,
		Message: reachError(entry, err).Error(),
	}}
	if err := a.print(r); err != nil {
		return err
	}
	return &exitError{code: ExitUnknown}
}
