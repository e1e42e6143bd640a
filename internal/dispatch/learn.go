package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// recordCallEnd records what the end of a call shows about its leaf and its request.
func (r *run) recordCallEnd(leaf catalog.Leaf, call *replica.Call, resp *leafcall.Response, err error) {
	now := time.Now()
	if resp != nil && resp.Load != nil {
		r.e.table.Report(leaf.ID, *resp.Load, now)
	}
	call.End(resultOf(resp, err), now)
	var failure *leafcall.Error
	switch {
	case resp != nil && resp.WrongIncarnation:
		r.e.movedLeaves.add(leaf, now)
	case resp != nil && !resp.NotRun:
		r.answered.Store(true)
		r.e.crashes.Answered(r.digest)
	case errors.As(err, &failure) && failure.Cause == leafcall.ConnectionLost:
		if !r.answered.Load() { // a request that a leaf has answered does not crash leaves
			r.e.crashes.Lost(r.digest, leaf.ID)
		}
	case failure != nil && failure.Refused:
		r.e.crashes.Down(leaf.ID)
	}
}

// resultOf classifies the end of a call by what it shows about the leaf.
func resultOf(resp *leafcall.Response, err error) replica.Result {
	if resp != nil {
		switch {
		case resp.WrongIncarnation, resp.NotRun:
			return replica.Refused
		case resp.Status >= http.StatusInternalServerError:
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
