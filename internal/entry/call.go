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

// HeaderRequestID is the response header with the request id.
const HeaderRequestID = "Burdock-Request-Id"

// unknownLabel is the metric label of a service or kind that the bundle does not declare.
const unknownLabel = "unknown"

// call is the entry's record of one request. It belongs to the request's goroutine.
type call struct {
	id    string
	start time.Time
	// view is the one current when the request arrived; it is used until the request ends.
	view   *feed.View
	caller *bundle.Caller
	// service and kind are metric labels: declared names, or unknownLabel.
	service, kind string
	// memory is what the process holds of the request.
	memory *requestMemory
	// outcome and reason say how the request ended; ended reports whether they are set.
	outcome pb.OutcomeKind
	reason  pb.Reason
	ended   bool
}

type callKey struct{}

// callOf returns the record of the request, which the outermost middleware stored in ctx.
func callOf(ctx context.Context) *call {
	c, _ := ctx.Value(callKey{}).(*call)
	return c
}

func withCall(r *http.Request, c *call) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), callKey{}, c))
}

// recordEnd records how the request ended. Only the first call has an effect.
func (c *call) recordEnd(kind pb.OutcomeKind, reason pb.Reason) {
	if c.ended {
		return
	}
	c.outcome, c.reason, c.ended = kind, reason, true
}

// recordError records the error as the end of the request.
func (c *call) recordError(e *outcome.Error) { c.recordEnd(e.Kind, e.Reason) }

// identity returns the request's identity for the gather. Its bundle version is the lowest one
// that the gather must have: this entry's, or a higher one of an earlier answer through this
// entry, given by answered. Gathers receive a bundle one after another, and a caller must not see
// answers return to an older bundle.
func (c *call) identity(answered uint64) *pb.Identity {
	return &pb.Identity{RequestId: c.id, Caller: c.caller.Name, BundleVersion: max(c.view.Bundle.Version, answered)}
}

// maxObserved is the highest number observed so far. It is safe for concurrent use.
type maxObserved struct{ atomic.Uint64 }

func (h *maxObserved) observe(n uint64) {
	for old := h.Load(); n > old && !h.CompareAndSwap(old, n); old = h.Load() {
	}
}

// requestIDBytes is the length of the random part of a request id.
const requestIDBytes = 12

// newRequestID returns a random request id. A caller cannot choose it, so that ids are unique.
func newRequestID(vm string) string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return vm + "-" + hex.EncodeToString(b[:])
}
