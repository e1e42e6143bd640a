package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Size is the size of a run.
type Size struct {
	// VMs and Zones are the numbers of VMs and availability zones. Faults is how long faults are injected.
	VMs, Zones int
	Faults     time.Duration
	// LargerVMs is the number of VMs, counted from the first, that have four times the CPU of the others. The smaller
	// VMs hand their searches over to the larger ones in their zone. With 0 the settings give no CPU size, and no
	// search is handed over.
	LargerVMs int
}

// DefaultSize returns the default size. A run of it does a dozen processes' worth of work in half a minute.
func DefaultSize() Size { return Size{VMs: 6, Zones: 3, Faults: 14 * time.Second} }

// Fault is a kind of fault.
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
	LeafUnsigned     Fault = "leaf_unsigned_answers"
	LeafEndless      Fault = "leaf_endless_answers"
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
	ZoneEvacuate     Fault = "zone_evacuate"
	StoreRestore     Fault = "store_restored_from_copy"
	LeafCrashingText Fault = "leaf_crashing_text"
	CallerBurst      Fault = "caller_burst"
)

// faults lists the faults that a plan draws from, with their weights.
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

// Event is one fault. At counts from the start of fault injection; For is its duration.
type Event struct {
	At, For time.Duration
	Fault   Fault
	// Share sets how many of the possible targets the event affects; Pick seeds their selection.
	Share float64
	Pick  uint64
}

// String formats the event as a line of a report.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %-20s for %.2fs share %.2f", e.At.Seconds(), e.Fault, e.For.Seconds(), e.Share)
}

const (
	// faultGap and configGap are the mean times between faults and between configuration changes. Drawn times are
	// up to twice the mean.
	faultGap, configGap = 350 * time.Millisecond, 900 * time.Millisecond
	// maxFaultTime bounds how long a fault lasts.
	maxFaultTime = 3 * time.Second
	// killAllOdds is N where one run in N ends its faults by killing all VMs.
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
	plan = append(plan, spoiledAnswers(seed, size)...)
	plan = append(plan, evacuations(seed, size)...)
	plan = append(plan, restores(seed, size)...)
	plan = append(plan, crashingTexts(seed, size)...)
	plan = append(plan, bursts(seed, size)...)
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

// addedFaultGap is the mean time between faults of the kinds that were added after seeds had been kept as tests. They
// are drawn from a separate random source, so that the other events of a seed stay the same.
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

// evacuationGap is the mean time between evacuations.
const evacuationGap = 4 * time.Second

// evacuations draws evacuations of availability zones from a random source of their own, as addedFaults does. A
// deployment of one zone gets none: no leaf would be left.
func evacuations(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []Event
	for at := drawDuration(rng, evacuationGap); size.Zones > 1 && at < size.Faults; at += drawDuration(rng, evacuationGap) {
		out = append(out, Event{At: at, For: drawDuration(rng, maxFaultTime/2), Fault: ZoneEvacuate, Pick: rng.Uint64()})
	}
	return out
}

// restoreGap is the mean time between the store's returns from a copy.
const restoreGap = 4 * time.Second

// restores draws the store's returns from a copy from a random source of their own, as addedFaults does. The copy is as
// old as the event is long; Share is the part of maxFaultTime for which the store is away.
func restores(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []Event
	for at := drawDuration(rng, restoreGap); at < size.Faults; at += drawDuration(rng, restoreGap) {
		out = append(out, Event{At: at, For: drawDuration(rng, maxFaultTime/2), Fault: StoreRestore, Share: rng.Float64() / 2, Pick: rng.Uint64()})
	}
	return out
}

const (
	// crashingTextGap is the mean time between requests that crash the leaves that run them, crashingTextPause that for
	// which one of them stops before it comes again.
	crashingTextGap, crashingTextPause = 5 * time.Second, time.Second
	// crashingTextRounds is how often one of them comes.
	crashingTextRounds = 3
)

// crashingTexts draws requests that crash leaves from a random source of their own, as addedFaults does. They are sent
// until the end of the faults at the latest: those that end the faults may take the evidence of all VMs.
func crashingTexts(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 6))
	var out []Event
	for first := drawDuration(rng, crashingTextGap); first < size.Faults; first += drawDuration(rng, crashingTextGap) {
		at, pick := first, rng.Uint64()
		for range crashingTextRounds {
			d := min(drawDuration(rng, maxFaultTime/2), size.Faults-at)
			if d <= 0 {
				break
			}
			out = append(out, Event{At: at, For: d, Fault: LeafCrashingText, Pick: pick})
			at += d + drawDuration(rng, crashingTextPause)
		}
	}
	return out
}

// drawDuration returns a random duration between a tenth of the mean and nearly twice the mean.
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
