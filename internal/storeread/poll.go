package storeread

import (
	"cmp"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/mirror"
)

const (
	// overdueAfter is how long after the end of its wait a poll counts as overdue. The store answers in 4 ms.
	overdueAfter = 200 * time.Millisecond
	// overdueDelayFactor is by how much a poll must be later than the one before it, so that a store that has become slow
	// is not asked twice each time.
	overdueDelayFactor = 2
	// repeatWait is the wait of a repeated poll: what has happened is asked for.
	repeatWait = time.Millisecond
	// expiryHeartbeats is after how many heartbeats without a write a leaf's entry expires. defaultHeartbeatInterval applies
	// where the settings name none.
	expiryHeartbeats         = 3
	defaultHeartbeatInterval = 1200 * time.Millisecond
)

// The connection on which an overdue poll was answered, in metrics.
const (
	answeredFirst  = "first"
	answeredRepeat = "repeat"
	answeredNone   = "none"
)

// pollAnswer is an answer to a poll, or its failure.
type pollAnswer struct {
	delta mirror.Delta
	err   error
	// delay is how long after its wait the call ended.
	delay    time.Duration
	repeated bool
}

// isAnswer reports whether the store answered at all.
func (a pollAnswer) isAnswer() bool { return a.err == nil || errors.Is(a.err, ErrHistoryGone) }

// poll makes a long poll. Once it is overdue, it is repeated on another connection, as the open one may have gone silent,
// and the first answer counts. A removal is thus mostly heard of before the entries of live leaves can have expired, so that
// it can be dated.
func (r *Reader) poll(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	answers := make(chan pollAnswer, 2) // neither call waits for a reader
	call := func(wait time.Duration, repeated bool) {
		begun := time.Now()
		d, err := r.store.Watch(ctx, after, wait)
		answers <- pollAnswer{d, err, max(time.Since(begun)-wait, 0), repeated}
	}
	go call(wait, false)
	overdue := time.NewTimer(wait + r.overdueAfter())
	defer overdue.Stop()
	var a pollAnswer
	select {
	case a = <-answers:
	case <-overdue.C:
		go call(repeatWait, true)
		a = firstAnswer(answers)
		r.noteOverdue(a)
	}
	if a.isAnswer() {
		r.pollDelay = a.delay
	}
	if a.repeated && (a.delay > overdueAfter || r.entriesMayHaveExpired()) {
		r.failedAt = time.Now() // the store may have been unavailable until now
	}
	return a.delta, a.err
}

// entriesMayHaveExpired reports whether entries of live leaves may have expired if the store has been unavailable since it was
// last read: a leaf wrote its entry up to a heartbeat before that.
func (r *Reader) entriesMayHaveExpired() bool {
	_, lastRead := r.mirror.LastRead()
	return time.Since(lastRead) >= (expiryHeartbeats-1)*cmp.Or(r.HeartbeatInterval, defaultHeartbeatInterval)
}

// overdueAfter returns how long after the end of its wait the next poll counts as overdue.
func (r *Reader) overdueAfter() time.Duration {
	return max(overdueAfter, overdueDelayFactor*r.pollDelay)
}

// firstAnswer returns the first of two calls that the store answers, or the last failure.
func firstAnswer(answers <-chan pollAnswer) pollAnswer {
	if a := <-answers; a.isAnswer() {
		return a
	}
	return <-answers
}

// noteOverdue records how an overdue poll ended.
func (r *Reader) noteOverdue(a pollAnswer) {
	answered := answeredFirst
	switch {
	case !a.isAnswer():
		answered = answeredNone
	case a.repeated:
		answered = answeredRepeat
		r.log.Warn("open connection to the store is silent or slow; a new one was answered", zap.Duration("delay", a.delay))
	}
	r.metrics.overduePolls.WithLabelValues(answered).Inc()
}
