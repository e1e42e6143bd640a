package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// recordCallEnd records what the end of a call shows about its leaf and its request, which was known to have been in flight
// at the end of a leaf already if repeated is set.
func (r *run) recordCallEnd(leaf catalog.Leaf, call *replica.Call, repeated bool, resp *leafcall.Response, err error) {
	now := time.Now()
	if resp != nil && resp.Load != nil {
		r.e.table.Report(leaf.ID, *resp.Load, now)
	}
	call.End(resultOf(resp, err), now)
	switch {
	case resp != nil && resp.WrongIncarnation:
		r.e.movedLeaves.add(leaf, now)
		r.e.crashes.Replaced(leaf.ID)
	case resp != nil && resp.ShowsRun():
		if !r.answered.Swap(true) {
			r.e.crashes.Answered(r.digest)
		}
	case err != nil:
		r.recordLoss(leaf, err, repeated, call.Elapsed(now))
	}
}

// recordLoss records what a call without an answer, which ran for the given time, shows about the request and the leaf. Once
// a leaf has answered the request, one loss is enough: leaves that end together may be those of many shards.
func (r *run) recordLoss(leaf catalog.Leaf, err error, repeated bool, ran time.Duration) {
	var failure *leafcall.Error
	if !errors.As(err, &failure) {
		return
	}
	loss := crashguard.Loss{Digest: r.digest, Leaf: leaf.ID, Address: leaf.Address, Repeated: repeated, Ran: ran}
	switch {
	case failure.Refused:
		r.e.crashes.Down(leaf.ID)
		return
	case !failure.Sent:
		return
	case failure.Cause == leafcall.TimedOut, failure.Cause == leafcall.Abandoned, failure.Silent:
		loss.Silent = true
	}
	if !loss.Silent && r.lossRecorded.Swap(true) && r.answered.Load() {
		return
	}
	r.e.crashes.Lost(loss)
}

// resultOf classifies the end of a call by what it shows about the leaf.
func resultOf(resp *leafcall.Response, err error) replica.Result {
	if resp != nil {
		switch {
		case resp.WrongIncarnation, resp.NotRun:
			return replica.Refused
		case resp.Invalid(), resp.Status >= http.StatusInternalServerError:
			return replica.Failed
		}
		return replica.OK
	}
	var failure *leafcall.Error
	if !errors.As(err, &failure) {
		return replica.Failed
	}
	switch failure.Cause {
	case leafcall.Abandoned, leafcall.TimedOut:
		return replica.Late
	case leafcall.ConnectionFull:
		return replica.Neutral
	case leafcall.NoConnection:
		if failure.Refused {
			return replica.ConnectRefused
		}
		return replica.Unreachable
	}
	return replica.Failed
}
