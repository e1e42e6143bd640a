package search

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// beforeAnswers lets something happen before each leaf answers.
func (f *fakeFleet) beforeAnswers(do func()) {
	for id := range f.leaves {
		f.set(id, func(l *fakeLeaf) {
			l.answer = func(_ context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
				do()
				return goodAnswer(req), nil
			}
		})
	}
}

// A process that was frozen after a search was let in sends none of its calls when it wakes: what the search was
// planned by is from before the pause.
func TestNoCallWithoutFreshView(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(2)
	r := newRig("az-a", service, fleet, anywhere)
	r.feed.stale.Store(true)
	_, err := r.ask("r-1", "dawn", "q", time.Second)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	is.Equal(o.Reason, pb.Reason_REASON_PAUSED)
	is.Equal(fleet.runs("q"), 0)
}

// TestNoCallByAPlanOfBeforeAPause guards against answers from an outdated snapshot: the process was frozen between the
// answer of the first run and the calls to other shards, and fresh news came before these are made. They would go by
// the plan of before.
func TestNoCallByAPlanOfBeforeAPause(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(2)
	r := newRig("az-a", service, fleet, nil)
	fleet.beforeAnswers(func() { r.feed.paused.Store(time.Now().UnixNano()) })
	a, err := r.ask("r-1", "claim", "q", time.Second)
	is.NoErr(err)
	is.Equal(a.GetCoverage().GetShardsCovered(), uint32(1))
	is.Equal(fleet.runs("q"), 1)
	a, err = r.ask("r-2", "claim", "q", time.Second) // one that was let in since
	is.NoErr(err)
	is.True(a.GetCoverage().GetShardsCovered() > 0)
}

// The first run of a request is answered by one leaf, and the process was frozen meanwhile: the other shards
// aren't asked, and the answer says what it lacks.
func TestSecondShardNotAskedAfterPause(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(2)
	r := newRig("az-a", service, fleet, nil)
	fleet.beforeAnswers(func() { r.feed.stale.Store(true) })
	a, err := r.ask("r-1", "claim", "q", time.Second)
	is.NoErr(err)
	is.Equal(a.GetCoverage().GetShardsCovered(), uint32(1))
	is.Equal(fleet.runs("q"), 1)
}
