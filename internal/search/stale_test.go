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

// beforeAnswers calls do before each leaf answers.
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

// TestNoCallWithoutFreshView guards against calls planned by an outdated view: a process that was frozen after it
// admitted a search sends none of its calls when it resumes, because the view is from before the pause.
func TestNoCallWithoutFreshView(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(2)
	r := newRig("az-a", service, fleet, anywhere)
	r.feed.stale.Store(true)
	_, err := r.search("r-1", "dawn", "q", time.Second)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	is.Equal(o.Reason, pb.Reason_REASON_PAUSED)
	is.Equal(fleet.runs("q"), 0)
}

// TestNoCallByAPlanOfBeforeAPause guards against answers from an outdated snapshot. The process is frozen between the
// answer of the first run and the calls to the other shards, and fresh updates arrive before these are made. The calls
// would follow the plan from before the pause.
func TestNoCallByAPlanOfBeforeAPause(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(2)
	r := newRig("az-a", service, fleet, nil)
	fleet.beforeAnswers(func() { r.feed.paused.Store(time.Now().UnixNano()) })
	a, err := r.search("r-1", "claim", "q", time.Second)
	is.NoErr(err)
	is.Equal(a.GetCoverage().GetShardsCovered(), uint32(1))
	is.Equal(fleet.runs("q"), 1)
	a, err = r.search("r-2", "claim", "q", time.Second) // admitted after the pause
	is.NoErr(err)
	is.True(a.GetCoverage().GetShardsCovered() > 0)
}

// TestSecondShardNotAskedAfterPause guards against calls to the other shards after the process was frozen during the
// first run. They are not called, and the coverage lists them as missing.
func TestSecondShardNotAskedAfterPause(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(2)
	r := newRig("az-a", service, fleet, nil)
	fleet.beforeAnswers(func() { r.feed.stale.Store(true) })
	a, err := r.search("r-1", "claim", "q", time.Second)
	is.NoErr(err)
	is.Equal(a.GetCoverage().GetShardsCovered(), uint32(1))
	is.Equal(fleet.runs("q"), 1)
}
