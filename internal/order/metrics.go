package order

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

var outcomeLabels = []string{"service", "kind", "outcome", "reason"}

// metrics counts sends, final records and tickets. Service and kind are used as label values only
// once they are known to be in the bundle.
type metrics struct {
	tickets *prometheus.CounterVec
	sends   *prometheus.CounterVec
	records *prometheus.CounterVec
	// notes and resolves count the requests that this gather served as a witness or peer. spreads
	// and handovers count what it sent to others.
	notes, resolves, spreads, handovers *prometheus.CounterVec
	// finalRecords and unknownRecords give the share of final records that are unknown.
	finalRecords, unknownRecords atomic.Uint64
}

func newMetrics(reg prometheus.Registerer, m *Manager) *metrics {
	x := &metrics{
		tickets: counter("burdock_gather_tickets_total", "Requests for a ticket by their end."),
		sends:   counter("burdock_gather_order_sends_total", "Sends of orders by what the send got."),
		records: counter("burdock_gather_order_records_total", "Tickets by their final record."),
	}
	x.notes = resultCounter("burdock_gather_witness_notes_total", "Intents that other gathers asked to note, by result.")
	x.resolves = resultCounter("burdock_gather_ticket_resolves_total", "Questions about tickets of other gathers, by the state told.")
	x.spreads = resultCounter("burdock_gather_order_spreads_total", "Outcomes sent to witnesses, by result.")
	x.handovers = resultCounter("burdock_gather_order_handovers_total", "Handovers to a peer, by result.")
	reg.MustRegister(x.tickets, x.sends, x.records, x.notes, x.resolves, x.spreads, x.handovers,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "burdock_gather_tickets_held", Help: "Tickets of this incarnation held in memory."},
			func() float64 { return float64(m.table.counts().Held) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "burdock_gather_orders_running", Help: "Orders running now."},
			func() float64 { return float64(m.table.counts().Running) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "burdock_gather_witnesses", Help: "Other gathers that can be the witness of a new ticket now."},
			func() float64 {
				sameZone, otherZones := m.witnessSelector.candidates(m.source.Current())
				return float64(len(sameZone) + len(otherZones))
			}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "burdock_gather_order_unknown_share", Help: "Share of final records since start that are unknown, 0 to 1."},
			x.unknownShare),
	)
	return x
}

func counter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, outcomeLabels)
}

func resultCounter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"result"})
}

// countNote counts an answer that this gather gave as a witness.
func (x *metrics) countNote(resp *pb.NoteIntentResponse, outcomeErr *outcome.Error) {
	result := "noted"
	switch {
	case outcomeErr != nil:
		result = outcome.ReasonName(outcomeErr.Reason)
	case resp.GetSealed():
		result = "sealed"
	case resp.GetRecord() != nil:
		result = "done"
	}
	x.notes.WithLabelValues(result).Inc()
}

func (x *metrics) countResolve(s pb.TicketState) { x.resolves.WithLabelValues(stateName(s)).Inc() }

func (x *metrics) unknownShare() float64 {
	all := x.finalRecords.Load()
	if all == 0 {
		return 0
	}
	return float64(x.unknownRecords.Load()) / float64(all)
}

func (x *metrics) countIssue(request *pb.IssueTicketRequest, outcomeErr *outcome.Error) {
	if outcomeErr == nil {
		countOutcome(x.tickets, request.GetService(), request.GetKind(), &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE})
		return
	}
	switch outcomeErr.Reason {
	case pb.Reason_REASON_UNKNOWN_SERVICE, pb.Reason_REASON_INVALID_REQUEST, pb.Reason_REASON_NO_BUNDLE:
		countOutcome(x.tickets, "", "", outcomeErr.Proto(""))
	default:
		countOutcome(x.tickets, request.GetService(), request.GetKind(), outcomeErr.Proto(""))
	}
}

// countSend counts one send. t is nil if the ticket could not be used.
func (x *metrics) countSend(t *ticket.Ticket, resp *pb.OrderResponse, err error) {
	var service, kind string
	if t != nil {
		service, kind = t.Service, t.Kind
	}
	o := resp.GetOutcome()
	if e, ok := outcome.As(err); ok {
		o = e.Proto("")
	}
	countOutcome(x.sends, service, kind, o)
}

func (x *metrics) countRecord(t *ticket.Ticket, r *pb.TicketRecord) {
	x.finalRecords.Add(1)
	if r.GetOutcome().GetKind() == pb.OutcomeKind_OUTCOME_KIND_UNKNOWN {
		x.unknownRecords.Add(1)
	}
	countOutcome(x.records, t.Service, t.Kind, r.GetOutcome())
}

func countOutcome(c *prometheus.CounterVec, service, kind string, o *pb.Outcome) {
	c.WithLabelValues(service, kind, outcome.KindName(o.GetKind()), outcome.ReasonName(o.GetReason())).Inc()
}
