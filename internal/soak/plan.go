package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Size of a run.
type Size struct {
	// VMs and Zones, and for how long faults are injected.
	VMs, Zones int
	Faults     time.Duration
	// LargerVMs is how many VMs, the first ones, have four times the processor of the others, which hand their
	// searches to those in their zone. With 0 nobody is told of its processor, and nothing is handed over.
	LargerVMs int
}

// DefaultSize is a dozen processes' worth of work in half a minute.
func DefaultSize() Size { return Size{VMs: 6, Zones: 3, Faults: 14 * time.Second} }

// Fault names a sort of fault.
type Fault string

// The faults.
const (
	LeafSlow         Fault = "leaf_slow"
	LeafHang         Fault = "leaf_hang"
	LeafRefuse       Fault = "leaf_refuse"
	LeafRefuseAll    Fault = "leaf_refuse_all"
	LeafErrors       Fault = "leaf_errors"
	LeafLoseAnswers  Fault = "leaf_lose_answers"
	LeafGarble       Fault = "leaf_garble"
	LeafExtraAnswers Fault = "leaf_extra_answers"
	LeafCrash        Fault = "leaf_crash"
	LeafDrain        Fault = "leaf_drain"
	LeafAddressReuse Fault = "leaf_address_reused"
	LeafRestart      Fault = "leaf_starts_again"
	LeafSwap         Fault = "leaves_start_again_swapped"
	StoreForeign     Fault = "store_foreign_entries"
	StoreBusy        Fault = "store_busy"
	StoreSilent      Fault = "store_silent"
	StoreSlow        Fault = "store_slow"
	StoreLoseAnswers Fault = "store_lose_answers"
	StoreCompact     Fault = "store_compact"
	LinkStoreCut     Fault = "link_store_cut"
	LinkLeafCut      Fault = "link_leaf_cut"
	LinkLeafSilent   Fault = "link_leaf_silent"
	LinkLeafDelay    Fault = "link_leaf_delay"
	LinkConnsSilent  Fault = "link_conns_silent"
	VMFreeze         Fault = "vm_freeze"
	VMKill           Fault = "vm_kill"
	VMTerminate      Fault = "vm_terminate"
	VMReload         Fault = "vm_reload"
	VMRolling        Fault = "vm_rolling"
	VMKillAll        Fault = "vm_kill_all"
	ConfigChange     Fault = "config_change"
	ConfigReshard    Fault = "config_reshard"
)

// faults are those that a plan draws from, by weight.
var faults = []struct {
	fault  Fault
	weight int
}{
	{LeafSlow, 3}, {LeafHang, 2}, {LeafRefuse, 3}, {LeafRefuseAll, 2}, {LeafErrors, 2}, {LeafLoseAnswers, 3}, {LeafGarble, 3}, {LeafExtraAnswers, 3},
	{LeafCrash, 3}, {LeafDrain, 5}, {LeafAddressReuse, 3},
	{StoreBusy, 1}, {StoreSilent, 1}, {StoreSlow, 1}, {StoreLoseAnswers, 1}, {StoreCompact, 2},
	{LinkStoreCut, 3}, {LinkLeafCut, 2}, {LinkLeafSilent, 2}, {LinkLeafDelay, 2}, {LinkConnsSilent, 2},
	{VMFreeze, 3}, {VMKill, 3}, {VMTerminate, 4}, {VMReload, 2}, {VMRolling, 1},
}

// Event is a fault at a time from the start of the faults.
type Event struct {
	At, For time.Duration
	Fault   Fault
	// Share of the things that it may strike, and Pick, which of them are struck first.
	Share float64
	Pick  uint64
}

// String says the event in a line of a report.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %-20s for %.2fs share %.2f", e.At.Seconds(), e.Fault, e.For.Seconds(), e.Share)
}

const (
	// Times between faults and between changes of the configuration are drawn up to twice these.
	faultGap, configGap = 350 * time.Millisecond, 900 * time.Millisecond
	// maxFaultTime bounds how long a fault lasts.
	maxFaultTime = 3 * time.Second
	// powerOffOdds: one run in so many ends its faults with the loss of all VMs.
	killAllOdds = 4
)

// NewPlan returns the events of a seed. The same seed and size give the same plan.
func NewPlan(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 0))
	var plan []Event
	for at := drawDuration(rng, faultGap); at < size.Faults; at += drawDuration(rng, faultGap) {
		plan = append(plan, Event{At: at, For: min(drawDuration(rng, maxFaultTime/2), size.Faults-at), Fault: drawFault(rng), Share: rng.Float64() / 2, Pick: rng.Uint64()})
	}
	plan = append(plan, addedFaults(seed, size)...)
	for at := drawDuration(rng, configGap); at < size.Faults; at += drawDuration(rng, configGap) {
		f := ConfigChange
		if rng.IntN(5) == 0 {
			f = ConfigReshard
		}
		plan = append(plan, Event{At: at, Fault: f})
	}
	if rng.IntN(killAllOdds) == 0 {
		plan = append(plan, Event{At: size.Faults, For: time.Second, Fault: VMKillAll})
	}
	return plan
}

// addedFaultGap is the mean time between faults of the sorts that were added after seeds had been kept as tests: they
// are drawn apart, so that the other events of a seed stay the same.
const addedFaultGap = 2 * time.Second

func addedFaults(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 2))
	sorts := []Fault{LeafRestart, LeafRestart, LeafSwap, StoreForeign}
	var out []Event
	for at := drawDuration(rng, addedFaultGap); at < size.Faults; at += drawDuration(rng, addedFaultGap) {
		out = append(out, Event{At: at, For: drawDuration(rng, maxFaultTime/4), Fault: sorts[rng.IntN(len(sorts))], Share: rng.Float64() / 4, Pick: rng.Uint64()})
	}
	return out
}

// drawDuration is between a tenth of the mean and nearly twice it.
func drawDuration(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/10 + time.Duration(rng.Float64()*float64(2*mean-mean/5))
}

func drawFault(rng *rand.Rand) Fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	n := rng.IntN(sum)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f.fault
		}
	}
	return LeafSlow
}
