package peers

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// verdictModel is three VMs that report crashes of one request and answers to it, and exchange what they know.
type verdictModel struct {
	network *network
	vms     []*Manager
	// skews are by how much the clock of each VM is ahead.
	skews []time.Duration
	// refuted holds the crashes that a VM knew of when a leaf answered the request there, reported all crashes.
	refuted, reported map[string]bool
	exchanges         sync.WaitGroup
}

// verdictStep is one event of the model.
type verdictStep struct {
	// vm is the VM of the event, to the one that it exchanges with.
	vm, to int
	// kind of the event: a crash of leaf, an answer or an exchange that takes delay.
	kind  string
	leaf  string
	delay time.Duration
	// pause before the next event.
	pause time.Duration
}

const verdictDigest = 7

func drawVerdictStep(rt *rapid.T) verdictStep {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(rt, label)) * time.Millisecond
	}
	s := verdictStep{vm: rapid.IntRange(0, 2).Draw(rt, "vm"), delay: ms("delay", 1000), pause: ms("pause", 300)}
	s.to = (s.vm + rapid.IntRange(1, 2).Draw(rt, "to")) % 3
	s.kind = rapid.SampledFrom([]string{"crash", "answer", "exchange", "exchange", "exchange"}).Draw(rt, "kind")
	s.leaf = fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(rt, "leaf"))
	return s
}

func newVerdictModel(skews []time.Duration) *verdictModel {
	m := &verdictModel{network: newNetwork(), skews: skews, refuted: make(map[string]bool), reported: make(map[string]bool)}
	for i := range skews {
		vm, _ := m.network.vm(fmt.Sprint(i), "z", 1)
		m.vms = append(m.vms, vm)
	}
	return m
}

// apply plays a step. An exchange goes on beside the next steps.
func (m *verdictModel) apply(t *testing.T, s verdictStep) {
	vm, now := m.vms[s.vm], time.Now().Add(m.skews[s.vm])
	switch s.kind {
	case "crash":
		m.reported[s.leaf] = true
		vm.ReportCrash(Crash{Digest: verdictDigest, Leaf: catalog.LeafID{Name: s.leaf}, At: now})
	case "answer":
		for _, leaf := range m.standing(vm) {
			m.refuted[leaf] = true
		}
		refuteAll(vm, verdictDigest, now)
	default:
		m.exchange(t, s.vm, s.to, s.delay)
	}
	time.Sleep(s.pause)
}

func (m *verdictModel) exchange(t *testing.T, from, to int, delay time.Duration) {
	m.network.mu.Lock()
	m.network.delay = delay
	m.network.mu.Unlock()
	m.exchanges.Go(func() { m.vms[from].exchange(t.Context(), fmt.Sprint(to), false) })
}

// settle exchanges between all VMs twice, after the exchanges that are under way.
func (m *verdictModel) settle(t *testing.T) {
	m.exchanges.Wait()
	for range 2 {
		for from := range m.vms {
			for to := range m.vms {
				if from != to {
					m.exchange(t, from, to, time.Millisecond)
					m.exchanges.Wait()
				}
			}
		}
	}
}

// refuteAll refutes the crashes of the request that stand at the VM.
func refuteAll(m *Manager, digest uint64, at time.Time) {
	var leaves []catalog.LeafID
	for _, c := range m.Crashes(digest, time.Time{}) {
		leaves = append(leaves, c.Leaf)
	}
	m.Refute(digest, leaves, at)
}

// standing returns the leaves whose crashes count against the request at the VM.
func (m *verdictModel) standing(vm *Manager) []string {
	var leaves []string
	for _, c := range vm.Crashes(verdictDigest, time.Now().Add(-time.Hour)) {
		leaves = append(leaves, c.Leaf.Name)
	}
	slices.Sort(leaves)
	return leaves
}

// want returns the crashes that no answer has refuted.
func (m *verdictModel) want() []string {
	var leaves []string
	for _, leaf := range slices.Sorted(maps.Keys(m.reported)) {
		if !m.refuted[leaf] {
			leaves = append(leaves, leaf)
		}
	}
	return leaves
}

// VMs that exchange in any order, with any delays and clocks, end at the same verdict: all crashes count but those that a
// VM knew of when a leaf answered the request there. By dates, an answer passed crashes that came after it.
func TestVMsAgreeOnCrashesAndAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var skews []time.Duration
		for range 3 {
			skews = append(skews, time.Duration(rapid.IntRange(-2000, 2000).Draw(rt, "skew ms"))*time.Millisecond)
		}
		var steps []verdictStep
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			steps = append(steps, drawVerdictStep(rt))
		}
		var got [][]string
		var want []string
		synctest.Test(t, func(t *testing.T) {
			m := newVerdictModel(skews)
			for _, s := range steps {
				m.apply(t, s)
			}
			m.settle(t)
			want = m.want()
			for _, vm := range m.vms {
				got = append(got, m.standing(vm))
			}
		})
		for i, leaves := range got {
			if !slices.Equal(leaves, want) {
				rt.Fatalf("VM %d counts the crashes of %v, want %v", i, leaves, want)
			}
		}
	})
}
