package order

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

// defaultSeed makes runs reproducible. The flag -rapid.seed sets another seed.
const defaultSeed = "20261"

// shrinkTime bounds, in fake time, the search for a smaller failing case.
const shrinkTime = "2000h"

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", defaultSeed)
	setDefault("rapid.checks", "200")
	setDefault("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", shrinkTime)
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line did not set.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// machine drives a world by randomly drawn actions.
type machine struct {
	*world
	entry   *Resolver
	tickets []*mintedTicket
}

var testZones = map[string]string{"vm-1": "az-1", "vm-2": "az-1", "vm-3": "az-2", "vm-4": "az-2"}

func newMachine() *machine {
	cfg := DefaultConfig()
	cfg.TTL, cfg.RecordRetention, cfg.PeerRetention, cfg.LateAnswerGracePeriod = 4*time.Second, 3*time.Second, 5*time.Second, time.Second
	cfg.WitnessWait = 0
	w := newWorld(cfg, testZones)
	return &machine{world: w, entry: NewResolver(cfg, entrySource{w}, netPeers{w, nil})}
}

func drawVM(t *rapid.T) string {
	return rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3", "vm-4"}).Draw(t, "vm")
}

// issue requests a ticket from a gather. Refusals are ignored.
func (m *machine) issue(t *rapid.T) {
	m.issueAt(drawVM(t))
	synctest.Wait()
}

func (m *machine) issueAt(vm string) {
	n := m.node(vm)
	go func() {
		if !n.waitAlive() {
			return
		}
		resp, err := n.m.IssueTicket(context.Background(), &pb.GatherIssueTicketRequest{
			Identity: &pb.Identity{RequestId: "t", Caller: "desk"}, Ticket: &pb.IssueTicketRequest{Service: "teachers", Kind: "book"},
		})
		if err != nil || !n.waitAlive() {
			return
		}
		parsed, _ := ticket.Parse(resp.GetTicket().GetTicket())
		m.mu.Lock()
		defer m.mu.Unlock()
		m.tickets = append(m.tickets, &mintedTicket{text: resp.GetTicket().GetTicket(), ticket: parsed, minter: n})
	}()
}

func (m *machine) drawTicket(t *rapid.T) *mintedTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket yet")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

// send sends an order as an entry does: to the ticket's gather, and through the resolver if that
// gather does not answer.
func (m *machine) send(t *rapid.T) { m.sendOf(t, m.drawTicket(t)) }

func (m *machine) sendOf(t *rapid.T, i *mintedTicket) {
	payload := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "payload")
	timeout := rapid.SampledFrom([]time.Duration{50, 400, 3000}).Draw(t, "timeout") * time.Millisecond
	go m.sendOnce(i, payload, timeout)
	synctest.Wait()
}

func (m *machine) sendOnce(i *mintedTicket, payload string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := orderRequest(i.text, payload)
	resp, err := call(m.world, ctx, nil, i.ticket.VM, atOrder, func(n *node) (*pb.GatherOrderResponse, error) {
		return n.m.Order(ctx, req)
	})
	if errors.Is(err, errLost) {
		m.resolve(i, req.GetOrder())
		return
	}
	m.recordAnswer(i, resp.GetOrder(), err, false)
}

func (m *machine) resolve(i *mintedTicket, order *pb.OrderRequest) {
	mustBeFinal := m.ended(i) && m.viewIsAccurate()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := m.entry.ResolveOrder(ctx, i.ticket, "desk", order, "r")
	m.recordAnswer(i, resp, err, mustBeFinal)
}

// resolveOnly asks the resolver while the gather may be running, as an entry does that is
// partitioned from the gather.
func (m *machine) resolveOnly(t *rapid.T) {
	i := m.drawTicket(t)
	go m.resolve(i, nil)
	synctest.Wait()
}

// ended reports whether the minter was killed without a drain, after which no handover can be in
// progress.
func (m *machine) ended(i *mintedTicket) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return i.minter.dead && !i.minter.draining
}

func (m *machine) recordAnswer(i *mintedTicket, resp *pb.OrderResponse, err error, mustBeFinal bool) {
	outcomeErr, _ := outcome.As(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcomeErr != nil && outcomeErr.Reason == pb.Reason_REASON_TICKET_REUSED {
		return // the answer concerns an order other than the ticket's
	}
	i.answers = append(i.answers, answer{outcomeErr: outcomeErr, result: resp.GetResult(), mustBeFinal: mustBeFinal})
}

func (m *machine) armFault(t *rapid.T) {
	strikes := []nodeEvent{eventNone, eventNone, eventFreeze, eventKill}
	refusals := make([]pb.LeafRefusalReason, 4)
	refusals = append(refusals, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)
	f := fault{
		dropRequest:  rapid.IntRange(0, 3).Draw(t, "dropRequest") == 3,
		dropResponse: rapid.IntRange(0, 3).Draw(t, "dropResponse") == 3,
		delay:        rapid.SampledFrom([]time.Duration{0, 0, 30, 300, 2000, 9000}).Draw(t, "delay") * time.Millisecond,
		before:       rapid.SampledFrom(strikes).Draw(t, "before"),
		after:        rapid.SampledFrom(strikes).Draw(t, "after"),
		notWritten:   rapid.IntRange(0, 5).Draw(t, "notWritten") == 5,
		refusal:      rapid.SampledFrom(refusals).Draw(t, "refusal"),
		broken:       rapid.IntRange(0, 5).Draw(t, "broken") == 5,
	}
	m.arm(rapid.SampledFrom([]string{atNote, atNote, atHandover, atResolve, atOrder, atExecute, atExecute}).Draw(t, "step"), f)
}

func (m *machine) partitionLink(t *rapid.T) {
	a := rapid.SampledFrom([]string{"entry", "vm-1", "vm-2"}).Draw(t, "from")
	b := drawVM(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned[[2]string{min(a, b), max(a, b)}] = true
}

func (m *machine) heal(*rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.partitioned)
}

func (m *machine) drainOne(t *rapid.T) {
	limit := rapid.SampledFrom([]time.Duration{100, 1000, 5000}).Draw(t, "limit")
	m.drainAndKill(m.node(drawVM(t)), limit*time.Millisecond)
	synctest.Wait()
}

func (m *machine) restart(t *rapid.T) {
	n := m.node(drawVM(t))
	m.mu.Lock()
	dead := n.dead
	m.mu.Unlock()
	if dead {
		m.start(n.id, n.zone)
	}
}

func (m *machine) advanceTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{10, 50, 200, 1000, 3000}).Draw(t, "time") * time.Millisecond)
	synctest.Wait()
}

// advancePastRetention advances time until tickets expire and notes are evicted.
func (m *machine) advancePastRetention(*rapid.T) {
	time.Sleep(8 * time.Second)
	synctest.Wait()
}

// sendIntoFault mints a ticket and sends its order after arming a fault.
func (m *machine) sendIntoFault(t *rapid.T) {
	m.issue(t)
	m.armFault(t)
	m.sendOf(t, m.lastTicket(t))
}

func (m *machine) lastTicket(t *rapid.T) *mintedTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket yet")
	}
	return m.tickets[len(m.tickets)-1]
}

func (m *machine) actions() map[string]func(*rapid.T) {
	onNode := func(do func(*node)) func(*rapid.T) {
		return func(t *rapid.T) {
			do(m.node(drawVM(t)))
			synctest.Wait()
		}
	}
	weighted := []struct {
		weight int
		name   string
		do     func(*rapid.T)
	}{
		{2, "issue", m.issue}, {4, "send", m.send}, {5, "faulted", m.sendIntoFault}, {2, "resolve", m.resolveOnly},
		{1, "fault", m.armFault}, {1, "cut", m.partitionLink}, {2, "heal", m.heal}, {3, "restart", m.restart},
		{3, "pass", m.advanceTime}, {1, "passLong", m.advancePastRetention},
		{1, "freeze", onNode(m.freeze)}, {3, "thaw", onNode(m.thaw)}, {1, "kill", onNode(m.kill)}, {1, "leave", m.drainOne},
		{1, "thawUnaware", onNode(m.thawUnnoticed)},
		{4, "news", func(*rapid.T) { m.publishActualState() }},
		{1, "rumour", func(t *rapid.T) { m.setViewState(drawVM(t), pb.VmState_VM_STATE_GONE) }},
		{1, "rumourEnded", func(t *rapid.T) { m.setViewGatherEnded(drawVM(t)) }},
	}
	all := map[string]func(*rapid.T){"": m.check}
	for _, a := range weighted {
		for n := range a.weight {
			all[fmt.Sprint(a.name, n)] = a.do
		}
	}
	return all
}

// check compares the guarantees of the package with what the leaves ran and what callers were
// answered.
func (m *machine) check(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.tickets {
		if violation := i.violation(m.runs[i.text]); violation != "" {
			t.Fatalf("ticket %s ran %d times, answers %v: %s", i.ticket.Identity(), m.runs[i.text], i.answers, violation)
		}
	}
}

// settleAndEnd resends all tickets after all faults have been removed, and checks the guarantees.
func (m *machine) settleAndEnd(t *rapid.T) {
	m.heal(nil)
	for id := range testZones {
		m.thaw(m.node(id))
	}
	for range 2 {
		time.Sleep(10 * time.Second)
		synctest.Wait()
		m.publishActualState()
		for _, i := range m.tickets {
			go m.sendOnce(i, "a", 3*time.Second)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		m.check(t)
	}
}

func (m *machine) shutDown() {
	m.mu.Lock()
	clear(m.armed)
	nodes := make([]*node, 0, len(m.nodes))
	for _, n := range m.nodes {
		nodes = append(nodes, n)
	}
	m.mu.Unlock()
	for _, n := range nodes {
		m.kill(n)
	}
	time.Sleep(time.Minute)
}

// noDeadline hides the deadline of the test from rapid, because it can't be read under fake time.
// rapid then stops after 24 hours of fake time, which is some 700 checks.
type noDeadline struct{ rapid.TB }

// TestAtMostOnceUnderFaults checks the guarantees of this package under kills, freezes, network
// partitions, lost and late messages and wrong views. Each order runs at most once. An order that
// ended not_run never runs, before or after. An answered order ran exactly once. A final outcome
// does not change.
func TestAtMostOnceUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			m := newMachine()
			defer m.shutDown()
			t.Repeat(m.actions())
			m.settleAndEnd(t)
		})
	})
}
