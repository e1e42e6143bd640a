package balance

// budgetBurst is how many extra calls may come at once after a quiet time.
const budgetBurst = 1

// budget bounds the extra calls of one sort (hedges, or retries) of a service. For each share s
// that was ever asked with, the calls granted for shares of at most s are, in any span of time
// whatever, at most s times the calls of that span plus the burst of 1: a bucket gains s tokens
// with each call, holds no more than one, and a grant takes one. A sum over a sliding second was
// ruled out: it lets a burst through at the end of the second that its calls began.
//
// The shares come from the kinds. A grant takes from the bucket of its own share and from those of
// all greater shares, so that kinds with small budgets can't spend those with greater ones.
type budget struct {
	// calls counts the calls that give budget.
	calls   float64
	buckets map[float64]*bucket
}

// bucket holds the tokens of one share.
type bucket struct {
	tokens float64
	// callsSeen is the number of calls whose tokens are in.
	callsSeen float64
}

// recordCall counts a call that is not an extra one.
func (b *budget) recordCall() { b.calls++ }

// take grants an extra call, or not. The call that follows is counted as any other, so it is taken
// back here.
func (b *budget) take(share float64) bool {
	if share <= 0 {
		return false
	}
	if b.buckets == nil {
		b.buckets = make(map[float64]*bucket)
	}
	if b.buckets[share] == nil {
		b.buckets[share] = &bucket{callsSeen: b.calls}
	}
	for s, k := range b.buckets {
		k.fill(s, b.calls)
		if s >= share && !k.hasToken() {
			return false
		}
	}
	for s, k := range b.buckets {
		if s >= share {
			k.tokens--
		}
	}
	b.calls--
	return true
}

// fill adds the tokens of the calls since the last time.
func (k *bucket) fill(share, calls float64) {
	k.tokens = min(budgetBurst, k.tokens+share*(calls-k.callsSeen))
	k.callsSeen = calls
}

// hasToken tells whether there is a whole token; sums of shares aren't exact.
func (k *bucket) hasToken() bool {
	const rounding = 1e-9
	return k.tokens >= 1-rounding
}
