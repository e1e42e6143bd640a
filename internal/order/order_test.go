package order

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// inWorld runs a test under fake time against four gathers. Tickets are minted by vm-1, with vm-2
// as their witness.
func inWorld(t *testing.T, test func(*is.I, *machine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMachine()
		defer m.shutDown()
		test(is.New(t), m)
	})
}

// ticket returns a new ticket of vm-1.
func (m *machine) ticket() *mintedTicket {
	m.issueAt("vm-1")
	synctest.Wait()
	return m.tickets[len(m.tickets)-1]
}

// sendOrder sends the order to vm-1 with ample time and returns the outcome as "kind reason".
func (m *machine) sendOrder(i *mintedTicket, payload string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := m.node("vm-1").m.Order(ctx, orderRequest(i.text, payload))
	return outcomeText(err)
}

// resolveTicket resolves the ticket without its gather.
func (m *machine) resolveTicket(i *mintedTicket) string {
	_, err := m.entry.Resolve(context.Background(), i.ticket, "desk")
	return outcomeText(err)
}

func outcomeText(err error) string {
	outcomeErr, ok := outcome.As(err)
	switch {
	case err == nil:
		return "answered"
	case !ok:
		return err.Error()
	}
	return outcome.KindName(outcomeErr.Kind) + " " + outcome.ReasonName(outcomeErr.Reason)
}

func TestUnusableTicketsAreRefused(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		forged := *i.ticket
		forged.Sequence++
		other := *i.ticket
		other.VM = "vm-9"
		cases := map[string]struct {
			change func(*pb.GatherOrderRequest)
			want   string
		}{
			"none":          {func(r *pb.GatherOrderRequest) { r.Order.Ticket = "" }, "not_run no_ticket"},
			"no text of it": {func(r *pb.GatherOrderRequest) { r.Order.Ticket = "x" }, "not_run ticket_invalid"},
			"forged":        {func(r *pb.GatherOrderRequest) { r.Order.Ticket = forged.Text() }, "not_run ticket_invalid"},
			"other caller":  {func(r *pb.GatherOrderRequest) { r.Identity.Caller = "portal" }, "not_run ticket_invalid"},
			"other service": {func(r *pb.GatherOrderRequest) { r.Order.Service = "clips" }, "not_run ticket_invalid"},
			"other kind":    {func(r *pb.GatherOrderRequest) { r.Order.Kind = "cancel" }, "not_run ticket_invalid"},
			"other gather":  {func(r *pb.GatherOrderRequest) { r.Order.Ticket = other.Text() }, "unknown unreachable"},
		}
		for name, c := range cases {
			req := orderRequest(i.text, "p")
			c.change(req)
			_, err := m.node("vm-1").m.Order(context.Background(), req)
			is.Equal(name+": "+outcomeText(err), name+": "+c.want)
		}
		is.Equal(m.runsOf(i.text), 0)
		is.Equal(m.sendOrder(i, "p"), "answered") // none of them claimed the ticket
		is.Equal(m.sendOrder(i, "q"), "not_run ticket_reused")
		is.Equal(m.sendOrder(i, "p"), "answered")
		is.Equal(m.runsOf(i.text), 1)
	})
}

func TestHowCallsToLeavesEnd(t *testing.T) {
	shed := fault{refusal: pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED}
	draining := fault{refusal: pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING}
	late := fault{refusal: pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE}
	cases := []struct {
		name   string
		faults []fault
		node   func(*node)
		want   string
		runs   int
	}{
		{name: "no fault", want: "answered", runs: 1},
		{name: "not written, other replica", faults: []fault{{notWritten: true}}, want: "answered", runs: 1},
		{name: "refused, other replica", faults: []fault{draining}, want: "answered", runs: 1},
		{name: "not written anywhere", faults: []fault{{notWritten: true}, {notWritten: true}}, want: "not_run no_upstream"},
		{name: "refused everywhere", faults: []fault{{notWritten: true}, draining}, want: "not_run upstream_refused"},
		{name: "shed without a retry budget", faults: []fault{shed}, want: "not_run upstream_refused"},
		{name: "too late everywhere, after a new check", faults: []fault{late, late, late}, want: "answered", runs: 1},
		{name: "written and broken", faults: []fault{{broken: true}}, want: "unknown upstream_error", runs: 1},
		{name: "written, answer lost", faults: []fault{{dropResponse: true}}, want: "unknown deadline", runs: 1},
		{name: "written, never ran", faults: []fault{{dropRequest: true}}, want: "unknown deadline"},
		{name: "answers another order", faults: []fault{{mismatch: true}}, want: "unknown answer_mismatch", runs: 1},
		{name: "all at their limit", node: func(n *node) { n.full = true }, want: "not_run overload"},
		{name: "paused since it was placed", node: func(n *node) {
			n.full = true // the order waits for a slot during the pause
			time.AfterFunc(time.Microsecond, func() { n.recordPause(time.Now()) })
		}, want: "not_run paused"},
		{name: "all leaving", node: func(n *node) {
			n.leaving = map[string]bool{"leaf-0a": true, "leaf-0b": true, "leaf-1a": true, "leaf-1b": true}
		}, want: "not_run no_upstream"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(is *is.I, m *machine) {
				i := m.ticket()
				m.arm(atExecute, c.faults...)
				if c.node != nil {
					c.node(m.node("vm-1"))
				}
				is.Equal(m.sendOrder(i, "p"), c.want)
				m.arm(atExecute)
				is.Equal(m.sendOrder(i, "p"), c.want) // final
				time.Sleep(time.Second)
				is.Equal(m.resolveTicket(i), c.want) // the witness has the outcome
				is.Equal(m.runsOf(i.text), c.runs)
			})
		})
	}
}

// TestTimeKeptForTheWayBack guards against answers to orders that arrive after the caller's
// deadline: when much time remains, more of it is reserved, as for searches.
func TestTimeKeptForTheWayBack(t *testing.T) {
	is := is.New(t)
	for remaining, want := range map[time.Duration]time.Duration{
		100 * time.Millisecond: 10 * time.Millisecond,
		400 * time.Millisecond: 20 * time.Millisecond,
		time.Second:            31250 * time.Microsecond,
		8 * time.Second:        250 * time.Millisecond,
	} {
		is.Equal(answerReserve(remaining), want)
	}
}

func TestSendTimeoutDoesNotEndTheOrder(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		m.arm(atExecute, fault{delay: 500 * time.Millisecond})
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := m.node("vm-1").m.Order(ctx, orderRequest(i.text, "p"))
		outcomeErr, _ := outcome.As(err)
		is.Equal(outcomeText(err), "unknown deadline")
		is.True(outcomeErr.RetryAfter > 0)
		is.True(time.Since(start) < 100*time.Millisecond) // the answer still reaches the caller in time
		cancelled, cancelGone := context.WithCancel(context.Background())
		cancelGone()
		_, err = m.node("vm-1").m.Order(cancelled, orderRequest(i.text, "p"))
		is.Equal(outcomeText(err), "unknown cancelled")
		is.Equal(m.sendOrder(i, "p"), "answered") // the order continued without its callers
	})
}

func TestExpiryAndEviction(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		used, unused, late := m.ticket(), m.ticket(), m.ticket()
		is.Equal(m.sendOrder(used, "p"), "answered")
		m.arm(atNote, fault{after: eventFreeze})
		got := make(chan string, 1)
		go func() { got <- m.sendOrder(late, "p") }()
		time.Sleep(m.cfg.TTL)
		m.thaw(m.node("vm-1"))
		is.Equal(<-got, "not_run ticket_expired") // after the pause, before the first byte
		is.Equal(m.sendOrder(unused, "p"), "not_run ticket_expired")
		is.Equal(len(m.node("vm-2").m.witness.notes), 2) // the witness was not asked for the expired ticket
		is.Equal(m.sendOrder(used, "p"), "answered")
		time.Sleep(m.cfg.RecordRetention)
		m.ticket() // evicts old entries
		is.Equal(m.sendOrder(used, "p"), "unknown ticket_expired")
		is.Equal(m.runsOf(used.text), 1)
	})
}

func TestWitnessSealsTicketsAndClosesIntents(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		n := m.node("vm-1")
		sealed, noted := m.ticket(), m.ticket()
		is.Equal(sealed.ticket.WitnessVM, "vm-2") // own availability zone first
		is.Equal(m.resolveTicket(sealed), "not_run sealed")
		is.Equal(m.sendOrder(sealed, "p"), "not_run sealed")

		m.arm(atNote, fault{after: eventFreeze})
		got := make(chan string, 1)
		go func() { got <- m.sendOrder(noted, "p") }()
		synctest.Wait()
		is.Equal(m.resolveTicket(noted), "unknown unreachable") // the intent is noted, nothing is sealed
		m.setViewState("vm-1", pb.VmState_VM_STATE_GONE)
		is.Equal(m.resolveTicket(noted), "unknown unreachable") // it may run on the other side of a partition
		m.setViewGatherEnded("vm-1")
		is.Equal(m.resolveTicket(noted), "unknown incarnation_gone")
		m.node("vm-2").m.witness.recordOutcome(&pb.TicketRecord{ // a late outcome changes nothing
			Ticket: n.m.table.ticketID(noted.ticket.Sequence), State: pb.TicketState_TICKET_STATE_DONE, Caller: "desk",
			OrderDigest: Digest(orderRequest("", "p").GetOrder()), Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE},
		})
		time.Sleep(time.Second)
		m.thaw(n)
		is.Equal(<-got, "unknown incarnation_gone") // asked again after the pause, and not sent
		is.Equal(m.resolveTicket(noted), "unknown incarnation_gone")
		is.Equal(m.runsOf(noted.text)+m.runsOf(sealed.text), 0)

		done := m.ticket()
		is.Equal(m.sendOrder(done, "p"), "answered")
		synctest.Wait()
		stolen := *done.ticket
		stolen.Caller = "portal"
		_, err := m.entry.Resolve(context.Background(), &stolen, "portal")
		is.Equal(outcomeText(err), "unknown incarnation_gone") // reveals nothing of another caller's order
	})
}

func TestOrderIsRefusedWhenItsWitnessIsUnreachable(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		m.arm(atNote, fault{dropRequest: true})
		is.Equal(m.sendOrder(i, "p"), "not_run unreachable")
		is.Equal(m.sendOrder(i, "p"), "not_run unreachable")
		is.Equal(m.ticket().ticket.WitnessVM, "vm-4") // the failed witness is avoided for a while
		for _, vm := range []string{"vm-2", "vm-3", "vm-4"} {
			m.setViewState(vm, pb.VmState_VM_STATE_SUSPECT)
		}
		alone := m.ticket()
		is.True(!alone.ticket.HasWitness())
		is.Equal(m.sendOrder(alone, "p"), "answered")
		is.Equal(m.runsOf(i.text), 0)
	})
}

func TestDrainLeavesNoOutcomeUnknown(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		done, running, unused := m.ticket(), m.ticket(), m.ticket()
		is.Equal(m.sendOrder(done, "p"), "answered")
		m.arm(atExecute, fault{delay: 900 * time.Millisecond})
		got := make(chan string, 1)
		go func() { got <- m.sendOrder(running, "p") }()
		synctest.Wait()
		n := m.node("vm-1")
		go n.m.Drain(context.Background())
		synctest.Wait()
		_, err := n.m.IssueTicket(context.Background(), &pb.GatherIssueTicketRequest{
			Ticket: &pb.IssueTicketRequest{Service: "teachers", Kind: "book"},
		})
		is.Equal(outcomeText(err), "not_run draining")
		is.Equal(<-got, "answered")
		time.Sleep(m.cfg.DrainGracePeriod)
		is.Equal(m.sendOrder(unused, "p"), "not_run sealed")
		m.kill(n)
		m.start("vm-1", "az-1")
		m.publishActualState()
		for _, vm := range []string{"vm-2", "vm-3", "vm-4"} { // the witness and all receivers of the handover
			m.drainAndKill(m.node(vm), time.Second)
			synctest.Wait()
			m.publishActualState()
		}
		is.Equal(m.resolveTicket(done), "answered")
		is.Equal(m.resolveTicket(running), "answered")
		is.Equal(m.resolveTicket(unused), "not_run sealed")
		_, err = m.entry.ResolveOrder(context.Background(), done.ticket, "desk", orderRequest("", "q").GetOrder(), "r")
		is.Equal(outcomeText(err), "not_run ticket_reused")
		is.Equal(m.runsOf(unused.text), 0)
	})
}

func TestIncompleteHandoverSealsNothing(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		a := m.node("vm-3").m.archive
		data := &handoverData{minter: identity{"vm-9", 9}, sealedAll: true, forgottenTo: 5, retention: time.Minute}
		for seq := range uint64(maxHandoverRecords + 1) {
			data.records = append(data.records, &pb.TicketRecord{
				Ticket: &pb.TicketId{Vm: "vm-9", Incarnation: 9, Sequence: 10 + seq}, State: pb.TicketState_TICKET_STATE_DONE, Caller: "desk",
			})
		}
		parts := data.requests()
		is.Equal(len(parts), 2)
		stateOf := func(seq uint64, caller string) string {
			return stateName(a.lookup(&pb.TicketId{Vm: "vm-9", Incarnation: 9, Sequence: seq}, caller).GetState())
		}
		is.True(a.accept(parts[1]) == nil)
		is.Equal(stateOf(9, "desk"), "not_known") // the first part may hold its record
		is.True(a.accept(parts[0]) == nil)
		is.Equal(stateOf(9, "desk"), "sealed")
		is.Equal(stateOf(5, "desk"), "not_known") // evicted before the handover
		is.Equal(stateOf(10, "desk"), "done")
		is.Equal(stateOf(10, "portal"), "not_known")
	})
}

func TestTicketLimits(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		n := m.node("vm-1")
		n.m.table.cfg.MaxTickets, n.m.table.cfg.MaxCallerTickets = 3, 2
		issue := func(caller, service, kind string) string {
			_, err := n.m.IssueTicket(context.Background(), &pb.GatherIssueTicketRequest{
				Identity: &pb.Identity{Caller: caller}, Ticket: &pb.IssueTicketRequest{Service: service, Kind: kind},
			})
			return outcomeText(err)
		}
		is.Equal(issue("desk", "nothing", "book"), "not_run unknown_service")
		is.Equal(issue("desk", "teachers", "dawn"), "not_run invalid_request") // a search kind
		is.Equal(issue("desk", "teachers", "book"), "answered")
		is.Equal(issue("desk", "teachers", "book"), "answered")
		is.Equal(issue("desk", "teachers", "book"), "not_run caller_limit")
		is.Equal(issue("portal", "teachers", "book"), "answered")
		is.Equal(issue("portal", "teachers", "book"), "not_run overload")
		time.Sleep(m.cfg.TTL + m.cfg.RecordRetention)
		is.Equal(issue("desk", "teachers", "book"), "answered")
	})
}

func TestDumpShowsNoSecret(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		is.Equal(m.sendOrder(i, "the payload"), "answered")
		text, err := json.Marshal(m.node("vm-1").m.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(text), `"held":1`))
		for _, secret := range []string{i.text, "the payload", "done:"} {
			is.True(!strings.Contains(string(text), secret))
		}
	})
}

func TestBootClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	e := newBootClock(func() time.Time { return now })
	now = now.Add(3 * time.Second)
	is.Equal(e.Since(), 3*time.Second)
	now = now.Add(-time.Hour)
	is.Equal(e.Since(), 3*time.Second)
	now = now.Add(2 * time.Hour)
	is.Equal(e.Since(), time.Hour+3*time.Second)
}

func TestRefusalOfALeafCallKeepsItsReason(t *testing.T) {
	is := is.New(t)
	own := outcome.NotRun(pb.Reason_REASON_QUARANTINED, "gather.quarantine", "refused for its content").WithRetryAfter(time.Minute)
	outcomeErr := notStartedError(&upstream.CallError{Leaf: "leaf-0a", Err: own})
	is.Equal(outcomeErr.Reason, pb.Reason_REASON_QUARANTINED)
	is.Equal(outcomeErr.RetryAfter, time.Minute)
	is.Equal(outcomeErr.Peer, "leaf-0a")
}
