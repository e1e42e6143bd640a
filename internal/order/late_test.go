package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Guards against an order that ends unknown at its deadline although the leaf answers or refuses
// within the grace period after it.
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

// Guards against an outcome that stays unknown because gather and witness were partitioned when the
// order ended.
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

// A gather that other VMs can't reach may run on the other side of a network partition. Its orders
// become unknown for good only when it is replaced or its own VM reports its end.
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
		is.Equal(m.resolveTicket(i), "answered") // the witness has the outcome
	})
}

// An order whose ticket has no witness becomes unknown when the gather dies. When a whole fleet
// starts, the gathers that are ready first know of no other gather yet, so they wait for a witness.
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
		time.Sleep(time.Second - time.Since(start)) // the wait for a witness times out
		synctest.Wait()
		is.Equal(len(m.tickets), 2)
		is.True(!m.ticket().ticket.HasWitness()) // and later ones don't wait
	})
}
