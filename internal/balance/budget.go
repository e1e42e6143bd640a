package balance

// budgetBurst is how many extra calls may be granted at once, the capacity of a bucket in tokens.
const budgetBurst = 1

// budget bounds the extra calls of one sort (hedges, or retries) of a service by token buckets. For each
// share s that was ever requested, the extra calls granted for shares of at most s are, in any span of
// time, at most s times the calls of that span plus the burst of 1: a bucket gains s tokens with each
// call, holds at most one token, and a grant takes one. A sum over a sliding second doesn't bound that:
// it lets a burst through at the end of the second that its calls began.
//
// The shares come from the kinds. A grant takes a token from the bucket of its own share and from those
// of all greater shares, so that kinds with small budgets can't spend the budgets of kinds with greater
// ones.
type budget struct {
	// calls counts the calls that earn tokens, without the extra ones.
	calls   float64
	buckets map[float64]*bucket
}

// bucket holds the tokens of one share.
type bucket struct {
	tokens float64
	// callsSeen is the number of calls whose tokens are included.
	callsSeen float64
}

// recordCall counts a call. take subtracts the extra ones.
func (b *budget) recordCall() { b.calls++ }

// take reports whether an extra call is granted. The extra call is later counted by recordCall like any
// other, so take subtracts it from calls in advance.
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

// fill adds the tokens of the calls since the last fill.
func (k *bucket) fill(share, calls float64) {
	k.tokens = min(budgetBurst, k.tokens+share*(calls-k.callsSeen))
	k.callsSeen = calls
}

// hasToken reports whether there is a whole token. It allows for the rounding errors in sums of shares.
func (k *bucket) hasToken() bool {
	const rounding = 1e-9
	return k.tokens >= 1-rounding
}
