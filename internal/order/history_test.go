package order

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

var historySeed = flag.Uint64("order.seed", 1, "first seed of the order histories")

const (
	histories       = 20
	historyTickets  = 6
	historySenders  = 8
	sendsPerSender  = 12
	historyPayloads = 2
)

// sendInput is one send of a ticket. resolve is true if the resolver is asked instead of the
// gather.
type sendInput struct {
	ticket  int
	payload string
	resolve bool
}

// register is the model of a ticket: the order that claimed it, then the one final outcome.
type register struct {
	payload string
	final   string
}

// The answers to a send that the model distinguishes.
const (
	gotAnswered = "answered"
	gotNotRun   = "not_run"
	gotReused   = "reused"
	gotRunning  = "running"
	gotUnknown  = "unknown"
	gotNothing  = "unreachable"
)

// ticketModel models a ticket as a write-once register.
var ticketModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyTickets)
		for _, op := range history {
			n := op.Input.(sendInput).ticket
			parts[n] = append(parts[n], op)
		}
		return parts
	},
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		return stepTicketModel(state.(register), input.(sendInput), output.(string))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

func stepTicketModel(r register, in sendInput, got string) (bool, register) {
	sameOrder := r.payload == "" || r.payload == in.payload || in.resolve
	next := r
	if !in.resolve {
		next.payload = in.payload
	}
	switch got {
	case gotNothing:
		if r.payload == "" {
			r.payload = next.payload
		}
		return true, r
	case gotReused:
		return !sameOrder, r
	case gotRunning:
		return sameOrder, next
	case gotNotRun:
		next.final = gotNotRun
		// A sealed ticket never ran, whichever order asks.
		return r.final == "" && sameOrder || r.final == gotNotRun, next
	default:
		next.final = got
		ran := r.payload != "" || !in.resolve
		return sameOrder && ran && (r.final == "" || r.final == got), next
	}
}

// TestHistoriesOfConcurrentSends checks that concurrent sends of the same tickets, to the gather
// and to the resolver, are linearizable with each ticket as a write-once register.
func TestHistoriesOfConcurrentSends(t *testing.T) {
	for n := range uint64(histories) {
		seed := *historySeed + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m, ops := recordHistory(seed)
				is.Equal(len(ops), historySenders*sendsPerSender)
				is.True(porcupine.CheckOperations(ticketModel, ops)) // each ticket is a write-once register
				for _, i := range m.tickets {
					is.True(m.runsOf(i.text) <= 1)
				}
			})
		})
	}
}

// recordHistory runs concurrent senders against one gather, with faults drawn from the seed, and
// returns the operations.
func recordHistory(seed uint64) (*machine, []porcupine.Operation) {
	m := newMachine()
	defer m.shutDown()
	for range historyTickets {
		m.issueAt("vm-1")
		synctest.Wait()
	}
	var (
		clock atomic.Int64
		mu    sync.Mutex
		ops   []porcupine.Operation
		wg    sync.WaitGroup
	)
	for sender := range historySenders {
		random := rand.New(rand.NewPCG(seed, uint64(sender)))
		wg.Go(func() {
			for range sendsPerSender {
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				m.armRandom(random)
				in := sendInput{
					ticket: random.IntN(historyTickets), payload: fmt.Sprint("p", random.IntN(historyPayloads)),
					resolve: random.IntN(4) == 0,
				}
				call := clock.Add(1)
				got := m.sendFor(in, time.Duration(20+random.IntN(200))*time.Millisecond)
				op := porcupine.Operation{ClientId: sender, Input: in, Call: call, Output: got, Return: clock.Add(1)}
				if got == gotNothing && !in.resolve {
					op.Return = math.MaxInt64 // the request may arrive later, or never
				}
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return m, ops
}

// armRandom arms a fault of the network or of a leaf, but neither a kill nor a freeze.
func (m *machine) armRandom(random *rand.Rand) {
	steps := []string{atNote, atOrder, atExecute, atExecute, atHandover, ""}
	m.arm(steps[random.IntN(len(steps))], fault{
		delay:       time.Duration(random.IntN(150)) * time.Millisecond,
		dropRequest: random.IntN(8) == 0, dropResponse: random.IntN(8) == 0,
		notWritten: random.IntN(4) == 0, broken: random.IntN(6) == 0,
	})
}

func (m *machine) sendFor(in sendInput, timeout time.Duration) string {
	i := m.tickets[in.ticket]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if in.resolve {
		_, err := m.entry.Resolve(ctx, i.ticket, "desk")
		return gotOf(err, false)
	}
	_, err := call(m.world, ctx, nil, i.ticket.VM, atOrder, func(n *node) (*pb.GatherOrderResponse, error) {
		return n.m.Order(ctx, orderRequest(i.text, in.payload))
	})
	return gotOf(err, true)
}

// gotOf classifies the answer to a send. A lost answer and an undecided answer of the resolver
// carry no information.
func gotOf(err error, fromGather bool) string {
	outcomeErr, ok := outcome.As(err)
	switch {
	case err == nil:
		return gotAnswered
	case !ok:
		return gotNothing
	case outcomeErr.Reason == pb.Reason_REASON_TICKET_REUSED:
		return gotReused
	case outcomeErr.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return gotNotRun
	case outcomeErr.RetryAfter == 0:
		return gotUnknown
	case fromGather:
		return gotRunning
	}
	return gotNothing
}
