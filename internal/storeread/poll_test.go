package storeread

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/burdockplank/burdockplank/internal/mirror"
)

// delayedStore answers watches with answer, which may take its time.
type delayedStore struct {
	fakeStore
	watches atomic.Int64
	answer  func(ctx context.Context, wait time.Duration) error
}

func (s *delayedStore) Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	s.watches.Add(1)
	if err := s.answer(ctx, wait); err != nil {
		return mirror.Delta{}, err
	}
	return mirror.Delta{CompleteFrom: after, CompleteTo: after}, nil
}

// newDelayedReader returns a reader whose next read is a poll.
func newDelayedReader(answer func(ctx context.Context, wait time.Duration) error) (*Reader, *delayedStore) {
	store := &delayedStore{answer: answer}
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	m.Merge(mirror.Delta{CompleteTo: 5, Full: true, ReadAt: time.Now()}, time.Now())
	return r, store
}

// A store that has become slow would be asked twice for each poll, which costs calls and makes it slower yet.
func TestSlowStoreIsNotPolledTwiceEachTime(t *testing.T) {
	for _, delay := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const polls = 10
				r, store := newDelayedReader(func(_ context.Context, wait time.Duration) error {
					time.Sleep(wait + delay)
					return nil
				})
				for range polls {
					r.readOnce(t.Context())
				}
				is.Equal(store.watches.Load(), int64(polls+1)) // only the first slow answer was unexpected
				is.Equal(testutil.ToFloat64(r.metrics.overduePolls.WithLabelValues(answeredFirst)), 1.)
				is.Equal(testutil.ToFloat64(r.metrics.reads.WithLabelValues(kindWatch, "failed")), 0.)
				time.Sleep(time.Second) // the second call ends
			})
		})
	}
}

// A repeat that the store refuses must not end the poll that it still answers, and a poll that nobody answers ends in time.
func TestPollOutlivesARefusedRepeat(t *testing.T) {
	for name, silent := range map[string]bool{"first is answered late": false, "nothing is answered": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, _ := newDelayedReader(func(ctx context.Context, wait time.Duration) error {
					if wait == repeatWait {
						return errors.New("refused")
					}
					if silent {
						<-ctx.Done()
						return ctx.Err()
					}
					time.Sleep(wait + 500*time.Millisecond)
					return nil
				})
				begun := time.Now()
				r.readOnce(t.Context())
				failed := testutil.ToFloat64(r.metrics.reads.WithLabelValues(kindWatch, "failed"))
				is.Equal(failed == 1, silent)
				is.True(time.Since(begun) <= firstPollWait+answerTimeout)
			})
		})
	}
}

// Where leaves write their entries more often, those of live leaves can have expired by the time at which the repeat of a poll is
// answered: their removal must count from then on, or live leaves are called no more.
func TestRemovalsOfARepeatedPollAreDatedByTheHeartbeat(t *testing.T) {
	for interval, dated := range map[time.Duration]bool{0: true, heartbeatInterval: true, 100 * time.Millisecond: false} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{}
				r, m := newReader(&silentFirst{fakeStore: store}, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
				r.HeartbeatInterval = interval
				lastRead := time.Now()
				m.Merge(mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: 4}}, CompleteTo: 5, Full: true, ReadAt: lastRead}, lastRead)
				r.readOnce(t.Context())
				for _, it := range m.State(time.Now())[0].Items {
					is.True(it.Deleted)
					is.Equal(it.DeletedSince.Equal(lastRead), dated)
				}
			})
		})
	}
}

// silentFirst is a store whose first watch is never answered. Later ones tell of a removal.
type silentFirst struct {
	*fakeStore
	asked atomic.Bool
}

func (s *silentFirst) Watch(ctx context.Context, after uint64, _ time.Duration) (mirror.Delta, error) {
	if !s.asked.Swap(true) {
		<-ctx.Done()
		return mirror.Delta{}, ctx.Err()
	}
	return mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: after + 1, Deleted: true}}, CompleteFrom: after, CompleteTo: after + 1}, nil
}
