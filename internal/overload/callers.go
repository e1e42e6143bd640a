package overload

import (
	"container/list"
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/quota"
)

const (
	// maxCallers bounds the callers that are tracked at a time.
	maxCallers = 4096
	// shareInterval is the time between two divisions of a priority's rate among its callers, and shareIntervalEach
	// the time that each tracked caller adds, so that many callers do not cost more processor time.
	shareInterval     = 100 * time.Millisecond
	shareIntervalEach = 100 * time.Microsecond
	// creditTime is the time for which a caller keeps what it has not used of its share, and debtTime the time of its
	// share at which a caller that has had more is refused as long as possible. Both are at least minCredit requests.
	creditTime = time.Second
	debtTime   = 500 * time.Millisecond
	minCredit  = 2
	// callerExpiry is how long a caller without requests is tracked.
	callerExpiry = 5 * time.Second
)

// callerKey identifies a caller within a priority.
type callerKey struct {
	priority int
	address  string
}

// caller holds the rates of one caller's requests of one priority. Its allowed rate is its share.
type caller struct {
	quota.Demand
	key                callerKey
	attempts, admitted quota.Rate
	seen               time.Time
	// credit is how many requests the caller has had less than its share, or more where it is negative. Unlike a
	// comparison of rates it does not forget what a caller with few attempts has missed.
	credit float64
	// retries is the schedule for requests refused while the credit is negative.
	retries quota.RetrySchedule
}

// earn adds to the credit what the share gives for the time since the last request.
func (c *caller) earn(now time.Time) {
	if math.IsInf(c.Allowed, 1) {
		c.credit = 0
	} else {
		c.credit = min(c.credit+c.Allowed*now.Sub(c.seen).Seconds(), c.Allowed*creditTime.Seconds()+minCredit)
	}
	c.seen = now
}

// admit counts an admitted request.
func (c *caller) admit(now time.Time) {
	c.admitted.Add(now)
	if !math.IsInf(c.Allowed, 1) {
		c.credit = max(c.credit-1, -c.maxDebt())
	}
}

func (c *caller) maxDebt() float64 { return c.Allowed*debtTime.Seconds() + minCredit }

// debt returns how much the caller has had above its share: 0 for nothing, 1 for the most that counts.
func (c *caller) debt() float64 {
	if c == nil || c.credit >= 0 || math.IsInf(c.Allowed, 1) {
		return 0
	}
	return min(1, -c.credit/c.maxDebt())
}

// callerTable tracks the callers of the priorities that are being cut.
type callerTable struct {
	maxRetryAfter time.Duration

	byKey map[callerKey]*list.Element
	// byAge holds the callers, the one seen last first.
	byAge *list.List
	// dividedAt is the time of the last division by priority.
	dividedAt [priorities]time.Time
	demands   []*quota.Demand
}

func newCallerTable(maxRetryAfter time.Duration) callerTable {
	return callerTable{maxRetryAfter: maxRetryAfter, byKey: make(map[callerKey]*list.Element), byAge: list.New()}
}

// record counts a request and returns its caller. The caller's share is as of the last division.
func (t *callerTable) record(now time.Time, priority int, address string) *caller {
	c := t.find(now, callerKey{priority, address})
	c.earn(now)
	c.attempts.Add(now)
	if now.Sub(t.dividedAt[priority]) >= shareInterval+time.Duration(len(t.byKey))*shareIntervalEach {
		t.dividedAt[priority] = now
		t.expire(now)
		t.divide(now, priority)
	}
	return c
}

// find returns the caller, and creates it on first use in the place of the oldest one.
func (t *callerTable) find(now time.Time, key callerKey) *caller {
	if e := t.byKey[key]; e != nil {
		t.byAge.MoveToFront(e)
		return e.Value.(*caller)
	}
	if len(t.byKey) >= maxCallers {
		t.drop(t.byAge.Back())
	}
	c := &caller{key: key, seen: now, retries: quota.RetrySchedule{MaxWait: t.maxRetryAfter}}
	c.Demand = quota.Demand{Key: quota.Key{Caller: key.address, Share: 1}, Allowed: math.Inf(1)}
	t.byKey[key] = t.byAge.PushFront(c)
	return c
}

func (t *callerTable) drop(e *list.Element) {
	delete(t.byKey, t.byAge.Remove(e).(*caller).key)
}

// expire drops the callers without requests.
func (t *callerTable) expire(now time.Time) {
	for e := t.byAge.Back(); e != nil && now.Sub(e.Value.(*caller).seen) > callerExpiry; e = t.byAge.Back() {
		t.drop(e)
	}
}

// divide divides the rate at which the priority's callers are admitted among them in equal shares. A caller that
// asks for less than its share is not bounded; a refused attempt raises no caller above its share.
func (t *callerTable) divide(now time.Time, priority int) {
	t.demands = t.demands[:0]
	admitted := 0.0
	for e := t.byAge.Front(); e != nil; e = e.Next() {
		c := e.Value.(*caller)
		if c.key.priority != priority {
			continue
		}
		c.Rate = c.attempts.PerSecond(now)
		admitted += c.admitted.PerSecond(now)
		t.demands = append(t.demands, &c.Demand)
	}
	quota.Allocate(admitted, t.demands)
	if len(t.demands) == 1 {
		t.demands[0].Allowed = math.Inf(1) // there is nobody to share with
	}
}
