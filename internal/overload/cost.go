package overload

import "time"

const (
	// defaultUnit is the processor time of one call to a leaf, in seconds on a whole core, until it has been measured.
	defaultUnit = 100e-6
	// unitBound bounds the measured processor time of a unit to this factor of defaultUnit, up and down.
	unitBound = 8
	// costWindow is the shortest time over which usage is compared with the counted units.
	costWindow = 100 * time.Millisecond
	// maxCostWindow is the longest one. A longer window has too few requests to explain the usage.
	maxCostWindow = time.Second
	// busyShare is the part of the processor share that the counted units must cost, by the present estimate, for a
	// window to count. A choice by the usage would prefer the windows in which the units were expensive. At 0.2,
	// few windows counted where a unit took four times as long as estimated.
	busyShare = 0.1
	// idleShare is the part up to which a window shows the usage of background work, maxBackground bounds that usage
	// as a part of the share, and backgroundWeight is the weight of a window in it.
	idleShare        = 0.01
	maxBackground    = 0.1
	backgroundWeight = 0.1
	// costDecay is the factor by which the weight of earlier windows falls with each window.
	costDecay = 0.8
	// saturatedShare is the part of the processor share from which the processor counts as saturated. After
	// maxSaturated the estimate rises by saturatedFactor with each window.
	saturatedShare  = 0.97
	maxSaturated    = time.Second
	saturatedFactor = 1.1
	// maxUsageFactor bounds the usage that is plausible in a window, as a multiple of its length and of the cores (at
	// least one). A greater increase follows a failed reading.
	maxUsageFactor = 8
)

// The units of a request, beside one for each call to a leaf.
const (
	receiveUnits  = 4
	handOverUnits = 4
	refuseUnits   = 0.5
	// maxCalls bounds the number of calls of one request.
	maxCalls = 4096
)

// units returns the units of an admitted request.
func (w Work) units() float64 {
	u := float64(receiveUnits + min(max(w.Calls, 0), maxCalls))
	if w.HandOver {
		u += handOverUnits
	}
	return u
}

// unitCost learns the processor time of a unit from the processor time of the process.
type unitCost struct {
	cores float64
	usage func() time.Duration

	// usedSeconds and countedUnits are sums over the busy windows, with weights that decay.
	usedSeconds, countedUnits float64
	// background is the usage without requests, in seconds per second.
	background float64
	// saturated is how long the processor has been saturated, in seconds.
	saturated float64
	// The current window: its start, the usage (0 if unknown) and the backlog, in seconds, at its start, and the units
	// counted in it.
	windowStart   time.Time
	windowUsage   time.Duration
	windowBacklog float64
	windowUnits   float64
}

// newUnitCost returns a unitCost that starts as if it had measured defaultUnit in one window.
func newUnitCost(cores float64, usage func() time.Duration) unitCost {
	used := costWindow.Seconds() * cores
	return unitCost{cores: cores, usage: usage, usedSeconds: used, countedUnits: used / defaultUnit}
}

// seconds returns the processor time of the units, in seconds.
func (c *unitCost) seconds(units float64) float64 {
	return units * boundUnit(c.usedSeconds/c.countedUnits)
}

// boundUnit returns the processor time of a unit within its bounds.
func boundUnit(seconds float64) float64 {
	return min(max(seconds, defaultUnit/unitBound), defaultUnit*unitBound)
}

// count counts the units.
func (c *unitCost) count(units float64) { c.windowUnits += units }

// advance ends the window if it is long enough, and starts another one. backlog is the present one, in seconds.
func (c *unitCost) advance(now time.Time, backlog float64) {
	length := now.Sub(c.windowStart)
	if length < costWindow {
		return
	}
	used := c.usage()
	if c.windowUsage > 0 && length <= maxCostWindow {
		c.learn(length.Seconds(), (used - c.windowUsage).Seconds(), c.unitsDone(backlog))
	}
	c.windowStart, c.windowUsage, c.windowBacklog, c.windowUnits = now, max(0, used), backlog, 0
}

// unitsDone returns how many of the units counted in the window, and before it, have been done in it. Without regard
// to the backlog, a step in load would make a unit look cheap, since its work is counted before it is done.
func (c *unitCost) unitsDone(backlog float64) float64 {
	return max(0, c.windowUnits-(backlog-c.windowBacklog)/c.seconds(1))
}

// learn takes in a window of the given length, in seconds, in which the process used the given processor time for the
// units. It ignores a window where the usage stands still or jumps.
func (c *unitCost) learn(length, used, units float64) {
	if used <= 0 || used > maxUsageFactor*max(1, c.cores)*length {
		return
	}
	switch share := c.seconds(units) / (c.cores * length); {
	case share <= idleShare:
		usage := min(used/length, maxBackground*c.cores)
		c.background += backgroundWeight * (usage - c.background)
	case share >= busyShare:
		c.learnUnit(units, used-c.background*length)
		c.correct(length, used)
	}
}

// learnUnit takes in the processor time used for the units.
func (c *unitCost) learnUnit(units, used float64) {
	c.usedSeconds = costDecay*c.usedSeconds + units*boundUnit(used/units)
	c.countedUnits = costDecay*c.countedUnits + units
}

// correct raises the estimate if the processor stays saturated for longer than it takes to do the backlog. Work then
// waits that the model takes for done, so the measured units look cheaper than they are.
func (c *unitCost) correct(length, used float64) {
	if used < saturatedShare*c.cores*length {
		c.saturated = 0
		return
	}
	c.saturated += length
	if c.saturated > maxSaturated.Seconds() {
		c.usedSeconds = min(c.usedSeconds*saturatedFactor, c.countedUnits*defaultUnit*unitBound)
	}
}
