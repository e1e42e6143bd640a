package storeread

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/mirror"
)

// A deletion happened after the store had last been read, by any VM. It counted from its arrival, so that a VM that read in
// place of lost ones took a leaf that had left 2.4 s ago for one that had just left. Entries that are removed while the store is
// unavailable may come back: they count from their arrival. A store that is asked too often is available.
func TestDeletionsCountFromTheLastRead(t *testing.T) {
	const gap = 2400 * time.Millisecond
	for name, failure := range map[string]error{"nobody read": nil, "reads were above the limit": fmt.Errorf("read: %w", ErrRateLimited), "store was unavailable": errors.New("503")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fail := failure
				store := &fakeStore{next: func(_ string, after uint64) (mirror.Delta, error) {
					if err := fail; err != nil {
						fail = nil
						return mirror.Delta{}, err
					}
					return mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: after + 1, Deleted: true}}, CompleteFrom: after, CompleteTo: after + 1}, nil
				}}
				r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
				lastRead := time.Now()
				m.Merge(mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: 4}}, CompleteTo: 5, Full: true, ReadAt: lastRead}, lastRead)
				time.Sleep(gap)
				if failure != nil {
					r.readOnce(t.Context())
				}
				r.readOnce(t.Context())
				want := lastRead
				if failure != nil && !errors.Is(failure, ErrRateLimited) {
					want = time.Now()
				}
				for _, it := range m.State(time.Now())[0].Items {
					is.True(it.Deleted)
					is.Equal(it.DeletedSince, want)
					is.Equal(it.ReceivedAt, time.Now())
				}
				_, readAt := m.LastRead()
				is.Equal(readAt, time.Now())
			})
		})
	}
}
