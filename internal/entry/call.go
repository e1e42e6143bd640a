package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// HeaderRequestID is the response header that names the request.
const HeaderRequestID = "Burdock-Request-Id"

// unknownLabel is the metric label of a service or kind that the bundle doesn't declare.
const unknownLabel = "unknown"

// call is what the entry knows of one request. It belongs to the request's goroutine.
type call struct {
	id    string
	start time.Time
	// view is the one that was current when the request came; it is used to the end.
	view   *feed.View
	caller *bundle.Caller
	// service and kind are metric labels: declared names, or unknownLabel.
	service, kind string
	// outcome and reason say how the request ended; ended tells whether they are set.
	outcome pb.OutcomeKind
	reason  pb.Reason
	ended   bool
}

type callKey struct{}

// callOf returns the record of the request, which the outermost middleware has put into ctx.
func callOf(ctx context.Context) *call {
	c, _ := ctx.Value(callKey{}).(*call)
	return c
}

func withCall(r *http.Request, c *call) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), callKey{}, c))
}

// recordEnd notes how the request ended; the first end counts.
func (c *call) recordEnd(kind pb.OutcomeKind, reason pb.Reason) {
	if c.ended {
		return
	}
	c.outcome, c.reason, c.ended = kind, reason, true
}

// recordError notes the error as the request's end.
func (c *call) recordError(e *outcome.Error) { c.recordEnd(e.Kind, e.Reason) }

// identity is what the gather is told of the request. The bundle version that it must have at least is
// this entry's, or the higher one of an answer that a caller already has from here: gathers get a
// bundle one after another, and a caller must not see it come and go.
func (c *call) identity(answered uint64) *pb.Identity {
	return &pb.Identity{RequestId: c.id, Caller: c.caller.Name, BundleVersion: max(c.view.Bundle.Version, answered)}
}

// maxObserved is the highest number that was noted. It is safe for concurrent use.
type maxObserved struct{ atomic.Uint64 }

func (h *maxObserved) observe(n uint64) {
	for old := h.Load(); n > old && !h.CompareAndSwap(old, n); old = h.Load() {
	}
}

// requestIDBytes is the length of the random part of a request's id.
const requestIDBytes = 12

// newRequestID draws the id of a request. A caller can't choose it, so that no two are the same.
func newRequestID(vm string) string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return vm + "-" + hex.EncodeToString(b[:])
}
