package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// maxRewriteTime is the longest time after the store's return until everything that it lost is written again.
const maxRewriteTime = 1800 * time.Millisecond

// restoreStore brings the store back from a copy as old as the event is long, after it was away for a moment. What it lost
// is written again some time later. Returns of several events follow each other.
func (tb *testbed) restoreStore(ctx context.Context, e Event) {
	tb.restoring.Lock()
	defer tb.restoring.Unlock()
	before := tb.store.Copy()
	wait.For(ctx, e.For)
	away := time.Duration(e.Share * float64(maxFaultTime))
	for _, v := range tb.vms {
		v.addDisturbance(Span{time.Now(), time.Now().Add(away), string(e.Fault)})
	}
	tb.store.SetFault(awayFault(e.Pick))
	wait.For(ctx, away)
	lost := tb.store.Restore(before)
	tb.store.SetFault(hosted.Fault{})
	wait.For(ctx, time.Duration(e.Pick%uint64(maxRewriteTime)))
	tb.store.WriteAgain(lost)
}

// awayFault draws how the store is away.
func awayFault(pick uint64) hosted.Fault {
	faults := []hosted.Fault{{Silent: true}, {Status: http.StatusServiceUnavailable}, {DropConnection: true}}
	return faults[pick%uint64(len(faults))]
}

// restoreAfterCalm brings the store back from a copy once more after the last fault, when little else is written: it
// counts the revisions that the VMs know again one by one. The versions that are put in force then must be so in time.
func (tb *testbed) restoreAfterCalm(ctx context.Context) {
	before := tb.store.Copy()
	tb.publishVersions(ctx, calmVersions)
	wait.For(ctx, slack)
	for _, v := range tb.vms {
		v.addDisturbance(Span{time.Now(), time.Now(), string(StoreRestore)})
	}
	tb.store.WriteAgain(tb.store.Restore(before))
	wait.For(ctx, settleTime+slack)
	tb.publishVersions(ctx, calmVersions-1) // the version that was written again took one of the revisions
}

// calmVersions is the number of versions that the copy lacks, calmVersionGap the time between two.
const (
	calmVersions   = 3
	calmVersionGap = 200 * time.Millisecond
)

func (tb *testbed) publishVersions(ctx context.Context, n int) {
	for range n {
		tb.publishConfig(false)
		wait.For(ctx, calmVersionGap)
	}
}
