package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// An order that was given up at its deadline would end unknown, though the leaf still tells.
func TestAnswerWithinTheGracePeriodIsRecorded(t *testing.T) {
	deadline := pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE
	for _, tt := range []struct {
		name  string
		fault fault
		want  string
		runs  int
	}{
		{"answered late", fault{delay: testTimeout + 500*time.Millisecond}, "answered", 1},
		{"refused at the deadline", fault{delay: testTimeout + time.Millisecond, refusal: deadline}, "not_run deadline", 0},
		{"answered too late", fault{delay: testTimeout + 1500*time.Millisecond}, "unknown deadline", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(is *is.I, m *machine) {
				i := m.ticket()
				m.arm(atExecute, tt.fault)
				is.Equal(m.sendOrder(i, "p"), tt.want)
				time.Sleep(time.Second)
				is.Equal(m.sendOrder(i, "p"), tt.want)
				is.Equal(m.resolveTicket(i), tt.want)
				is.Equal(m.runsOf(i.text), tt.runs)
			})
		})
	}
}

// A cut between gather and witness when the order ends must not make it unknown later.
func TestOutcomeReachesTheWitnessAfterAPartition(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		m.arm(atHandover, fault{dropRequest: true}, fault{dropRequest: true}, fault{dropResponse: true})
		is.Equal(m.sendOrder(i, "p"), "answered")
		synctest.Wait()
		is.Equal(m.resolveTicket(i), "unknown unreachable")
		time.Sleep(3 * time.Second)
		m.kill(m.node("vm-1"))
		m.publishActualState()
		is.Equal(m.resolveTicket(i), "answered")
	})
}

// A gather that other VMs can't reach may be on the other side of a cut: only its replacement or
// the word of its own VM make its orders unknown for good.
func TestUnreachableGatherIsNotTreatedAsEnded(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		i := m.ticket()
		m.arm(atExecute, fault{delay: 500 * time.Millisecond})
		got := make(chan string, 1)
		go func() { got <- m.sendOrder(i, "p") }()
		synctest.Wait()
		m.setViewState("vm-1", pb.VmState_VM_STATE_GONE)
		is.Equal(m.resolveTicket(i), "unknown unreachable")
		is.Equal(<-got, "answered")
		synctest.Wait()
		is.Equal(m.resolveTicket(i), "answered") // the witness was told
	})
}

// A ticket without a witness makes its order unknown when the gather dies, and when a fleet starts
// as a whole the first gathers that are ready know of no other one yet.
func TestFirstTicketWaitsForAWitness(t *testing.T) {
	inWorld(t, func(is *is.I, m *machine) {
		n := m.node("vm-1")
		n.m.cfg.WitnessWait = time.Second
		for _, vm := range []string{"vm-2", "vm-3", "vm-4"} {
			m.setViewState(vm, pb.VmState_VM_STATE_SUSPECT)
		}
		start := time.Now()
		m.issueAt("vm-1")
		synctest.Wait()
		is.Equal(len(m.tickets), 0)
		m.publishActualState()
		is.True(m.ticket().ticket.HasWitness())
		for _, vm := range []string{"vm-2", "vm-3", "vm-4"} {
			m.setViewState(vm, pb.VmState_VM_STATE_SUSPECT)
		}
		time.Sleep(time.Second - time.Since(start)) // the first ticket gives up waiting
		synctest.Wait()
		is.Equal(len(m.tickets), 2)
		is.True(!m.ticket().ticket.HasWitness()) // and later ones don't wait
	})
}
