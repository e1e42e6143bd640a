package scenarios

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

const (
	// historyDuration is the time for which callers send orders under random faults.
	historyDuration = 15 * time.Second
	// historyCallers is the number of concurrent callers.
	historyCallers = 16
	// sendTimeout is the timeout of one send, longer than the kind's own.
	sendTimeout = 3 * time.Second
	// maxSends is how often a caller sends an order in sequence while it has no final outcome.
	maxSends = 12
	// maxRetryWait limits the wait of a caller before it sends an order again.
	maxRetryWait = 300 * time.Millisecond
	// thinkTime is the wait between two orders of one caller.
	thinkTime = 20 * time.Millisecond
	// settleWorkers is the number of concurrent senders through each entry at the end.
	settleWorkers = 4
)

// orderSend is one send of an order and its reply. Its times count from the start of the history.
type orderSend struct {
	ticket            int
	caller            int
	entry             string
	sentAt, repliedAt time.Duration
	reply             *reply
}

// bookedOrder is a ticket and the payload of its order.
type bookedOrder struct {
	ticket, payload string
}

// orderHistory records the sends of orders and their replies. It is safe for concurrent use.
type orderHistory struct {
	start time.Time

	mu sync.Mutex
	// Guarded by mu.
	orders []bookedOrder
	sends  []orderSend
	// refused counts tickets that were not issued.
	refused int
	// callerOutcomes counts orders by their outcome for the caller.
	callerOutcomes map[callerOutcome]int
}

// callerOutcome is the outcome of an order for its caller.
type callerOutcome string

// The outcomes of orders for their callers.
const (
	outcomeAnswered  callerOutcome = "answered"
	outcomeNeverRun  callerOutcome = "never run"
	outcomeUnknown   callerOutcome = "unknown"
	outcomeUndecided callerOutcome = "undecided"
)

func (h *orderHistory) countOutcome(e callerOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.callerOutcomes == nil {
		h.callerOutcomes = make(map[callerOutcome]int)
	}
	h.callerOutcomes[e]++
}

func (h *orderHistory) add(s orderSend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends = append(h.sends, s)
}

// send sends the order through an entry and records the reply.
func (h *orderHistory) send(caller, ticket int, entry *node) *reply {
	h.mu.Lock()
	o := h.orders[ticket]
	h.mu.Unlock()
	q := &request{entry: entry, token: callerToken, timeout: sendTimeout, order: &pb.OrderRequest{
		Ticket: o.ticket, Service: serviceName, Kind: orderKind, Key: o.payload, Payload: o.payload,
	}}
	called := time.Since(h.start)
	rep := q.send()
	h.add(orderSend{ticket: ticket, caller: caller, entry: entry.name, sentAt: called, repliedAt: time.Since(h.start), reply: rep})
	return rep
}

// orderCaller is one caller with a random source of its own.
type orderCaller struct {
	f      *fleet
	h      *orderHistory
	id     int
	random *rand.Rand
}

func (c *orderCaller) anyVM() *node { return c.f.vms[c.random.IntN(len(c.f.vms))] }

// run books one order after another until ctx ends.
func (c *orderCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.bookOne(ctx)
		sleep(ctx, thinkTime)
	}
}

// bookOne requests a ticket and books its order.
func (c *orderCaller) bookOne(ctx context.Context) {
	q := &request{entry: c.anyVM(), token: callerToken, timeout: sendTimeout, issue: &pb.IssueTicketRequest{Service: serviceName, Kind: orderKind}}
	text := q.send().issue.GetTicket()
	c.h.mu.Lock()
	if text == "" {
		c.h.refused++
		c.h.mu.Unlock()
		return
	}
	ticket := len(c.h.orders)
	c.h.orders = append(c.h.orders, bookedOrder{ticket: text, payload: fmt.Sprintf("order %d of caller %d", ticket, c.id)})
	c.h.mu.Unlock()
	c.book(ctx, ticket)
}

// book sends an order through up to three entries at the same time until it has a final outcome, and at
// random (one time in four) again after that.
func (c *orderCaller) book(ctx context.Context, ticket int) {
	end := outcomeUndecided
	for range maxSends {
		reps := c.sendAtOnce(ticket, 1+c.random.IntN(3))
		for _, rep := range reps {
			end = end.after(rep)
		}
		if end != outcomeUndecided && c.random.IntN(4) > 0 {
			break
		}
		sleep(ctx, min(maxRetryWait, max(thinkTime, reps[0].outcome.GetRetryAfter().AsDuration())))
	}
	c.h.countOutcome(end)
}

// sendAtOnce sends the order through n random entries concurrently.
func (c *orderCaller) sendAtOnce(ticket, n int) []*reply {
	reps := make([]*reply, n)
	var wg sync.WaitGroup
	for i := range reps {
		entry := c.anyVM()
		wg.Go(func() { reps[i] = c.h.send(c.id, ticket, entry) })
	}
	wg.Wait()
	return reps
}

// after returns the outcome for the caller after a further reply. An answer or "never run" is final.
func (e callerOutcome) after(r *reply) callerOutcome {
	switch {
	case e == outcomeAnswered || e == outcomeNeverRun:
		return e
	case isAnswered(r):
		return outcomeAnswered
	case isNeverRun(r):
		return outcomeNeverRun
	case isFinal(r):
		return outcomeUnknown
	}
	return e
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// isFinal reports whether the reply decides the order: answered, never run, or unknown without a
// retry-after time.
func isFinal(r *reply) bool {
	return isAnswered(r) || isNeverRun(r) ||
		r.outcome.GetKind() == pb.OutcomeKind_OUTCOME_KIND_UNKNOWN && r.outcome.GetRetryAfter() == nil
}

func isAnswered(r *reply) bool {
	return r.outcome.GetKind() == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE
}

// isNeverRun reports whether the reply says that the order of the ticket never ran and never will. Only
// the ticket's gather and witness can say so (step order.*); any other not_run is about one send.
func isNeverRun(r *reply) bool {
	return r.outcome.GetKind() == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN && strings.HasPrefix(r.outcome.GetStep(), "order.")
}

// The state and the outputs of the porcupine model of one ticket. A ticket starts undecided and becomes
// executed or never run; it does not change after that.
type (
	ticketState struct {
		executed, never, answeredFirst bool
	}
	ticketOutput struct {
		// reply is that of a send, nil for the audit of the leaves' journals at the end.
		reply      *reply
		executions int
	}
)

var ticketModel = porcupine.Model{
	Init: func() any { return ticketState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepTicket(state.(ticketState), input.(string), output.(ticketOutput))
	},
	DescribeOperation: func(input, output any) string {
		o := output.(ticketOutput)
		if o.reply == nil {
			return fmt.Sprintf("audit: %d executions", o.executions)
		}
		return o.reply.String()
	},
}

// stepTicket applies a send or the audit to the state and reports whether the output is allowed. The
// input is the ticket's text.
func stepTicket(s ticketState, ticket string, o ticketOutput) (bool, ticketState) {
	switch {
	case o.reply == nil:
		ok := o.executions == 0 && !s.executed || o.executions == 1 && !s.never
		return ok, s
	case isAnswered(o.reply):
		first := !o.reply.order.GetReplayed()
		ok := !s.never && o.reply.order.GetResult() == "done:"+ticket && !(first && s.answeredFirst)
		s.executed, s.answeredFirst = true, s.answeredFirst || first
		return ok, s
	case isNeverRun(o.reply):
		ok := !s.executed
		s.never = true
		return ok, s
	}
	return true, s
}

// executionsBy counts the journal's executions by ticket text and by request id.
func executionsBy(lines []leaf.FileLine) (byTicket, byRequest map[string]int) {
	byTicket, byRequest = make(map[string]int), make(map[string]int)
	for _, l := range lines {
		if l.Execution != nil {
			byTicket[l.Execution.Ticket]++
			byRequest[l.Execution.RequestID]++
		}
	}
	return byTicket, byRequest
}

// check compares the history with the leaves' journals and returns the violations.
func (h *orderHistory) check(lines []leaf.FileLine) []string {
	byTicket, byRequest := executionsBy(lines)
	var violations []string
	ops := make([][]porcupine.Operation, len(h.orders))
	for _, s := range h.sends {
		if s.reply.outcome.GetKind() == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN && byRequest[s.reply.requestID()] > 0 {
			violations = append(violations, fmt.Sprintf("ticket %d: a leaf ran the request of %s", s.ticket, s.reply))
		}
		ops[s.ticket] = append(ops[s.ticket], porcupine.Operation{
			ClientId: len(ops[s.ticket]), Input: h.orders[s.ticket].ticket, Output: ticketOutput{reply: s.reply},
			Call: int64(s.sentAt), Return: int64(s.repliedAt),
		})
	}
	end := int64(time.Since(h.start))
	for i, o := range h.orders {
		all := append(ops[i], porcupine.Operation{
			ClientId: len(ops[i]), Input: o.ticket, Output: ticketOutput{executions: byTicket[o.ticket]}, Call: end, Return: end + 1,
		})
		if porcupine.CheckOperations(ticketModel, all) {
			continue
		}
		violations = append(violations, fmt.Sprintf("ticket %d: no order of its sends explains their replies, with %d executions", i, byTicket[o.ticket]))
		for _, s := range h.sends {
			if s.ticket == i {
				violations = append(violations, fmt.Sprintf("    %8s to %8s through %s: %s", s.sentAt.Round(time.Millisecond), s.repliedAt.Round(time.Millisecond), s.entry, s.reply))
			}
		}
	}
	return violations
}

// TestOrderHistory sends orders from many callers under random faults. No order runs twice, none that
// was reported as never run runs, each answered order has run once, and no answer is withdrawn later.
func TestOrderHistory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := runSeed(t)
	l := defaultLayout()
	l.Relay, l.VMs, l.Zones, l.Shards, l.Replicas = true, 4, 2, 2, 2
	f := startFleet(t, l)
	h := &orderHistory{start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), historyDuration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range historyCallers {
		c := &orderCaller{f: f, h: h, id: i, random: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		callers.Go(func() { c.run(ctx) })
	}
	m := &faultInjector{f: f, random: rand.New(rand.NewPCG(seed, 0)), log: t.Logf}
	is.NoErr(m.run(ctx, orderFaults()))
	callers.Wait()
	is.NoErr(await("everything ready", readyTimeout, func() error { return f.allReady(f.daemons) }))
	h.settle(f)
	written, err := f.journal()
	is.NoErr(err)
	t.Logf("%d orders, %d sends, %d tickets refused; outcomes: %v", len(h.orders), len(h.sends), h.refused, h.callerOutcomes)
	for _, b := range h.check(written.lines) {
		t.Error(b)
	}
	is.True(h.callerOutcomes[outcomeAnswered] > historyCallers) // else the run proves nothing
}

// settle sends every order once more through every entry, after the faults have ended.
func (h *orderHistory) settle(f *fleet) {
	var wg sync.WaitGroup
	for _, n := range f.vms {
		for w := range settleWorkers {
			wg.Go(func() {
				for i := w; i < len(h.orders); i += settleWorkers {
					h.send(-1, i, n)
				}
			})
		}
	}
	wg.Wait()
}
