package replica

const (
	// nearlyFull is the fraction of a leaf's slots in use from which its calls may take longer.
	nearlyFullFraction = 0.75
	// minCrowdedSlots is the minimum number of slots of a leaf that can be nearly full without being full.
	minCrowdedSlots = 3
	// crowdingWeight is the weight of a new answer in the time at a nearly full leaf. The first answers have more.
	crowdingWeight = 0.1
	// minCrowdedAnswers is the number of answers from which the time at a nearly full leaf counts as known.
	minCrowdedAnswers = 5
	// minCrowdingFactor is the factor from which a leaf counts as slower when nearly full. Pauses of leaves alone
	// lead to 1.2. maxCrowdingFactor bounds what one answer may contribute.
	minCrowdingFactor, maxCrowdingFactor = 1.3, 4
	// minFactor bounds the usual time of a leaf in a comparison, as a multiple of the typical time.
	minFactor = 0.1
)

// crowding is how many times as long as usual calls take at a leaf whose slots are nearly all in use.
type crowding struct {
	// excess is the factor minus 1.
	excess  float64
	answers int
}

// fillsUp reports whether a call that finds the given queue leaves the leaf nearly full.
func fillsUp(queue float64, c Candidate) bool {
	return c.Slots >= minCrowdedSlots && queue+1 > nearlyFullFraction*float64(c.Slots)
}

// crowded reports whether the leaf was nearly full when the call was sent, or by a report since then.
func (l *leaf) crowded(c *Call) bool {
	reported := Candidate{Slots: l.load.Slots}
	return c.nearlyFull || !l.loadAt.Before(c.sentAt) && fillsUp(float64(l.load.Running+l.load.Waiting), reported)
}

// known reports whether the leaf's time when it is nearly full is known.
func (c *crowding) known() bool { return c.answers >= minCrowdedAnswers }

// factor returns how many times as long a call takes at the nearly full leaf; 1 if that is not known.
func (c *crowding) factor() float64 {
	factor := 1 + c.excess
	if !c.known() || factor < minCrowdingFactor {
		return 1
	}
	return factor
}

// learn updates the factor with a call that took ratio times the usual time of the leaf when it is not nearly full. A
// leaf that is no longer slower when nearly full shows it as soon as no other leaf has a free slot.
func (c *crowding) learn(ratio float64) {
	c.answers++
	weight := max(crowdingWeight, 1/float64(c.answers))
	c.excess += weight * (min(max(ratio, 1), maxCrowdingFactor) - 1 - c.excess)
}
