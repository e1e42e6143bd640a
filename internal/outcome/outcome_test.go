package outcome

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

func TestErrorRoundTripsThroughConnect(t *testing.T) {
	is := is.New(t)
	want := NotRun(pb.Reason_REASON_QUEUE_FULL, "entry.admission", "%d waiting", 7).WithPeer("vm-1").WithRetryAfter(1500 * time.Millisecond)
	ce := ToConnect(want, "req-1")
	is.Equal(ce.Code(), connect.CodeResourceExhausted)
	is.Equal(ce.Meta().Get(HeaderRetryAfter), "2")
	is.Equal(ce.Meta().Get(HeaderRetryAfterMillis), "1500")
	got, ok := FromConnect(fmt.Errorf("call: %w", ce))
	is.True(ok)
	is.Equal(*got, *want)
}

func TestClassify(t *testing.T) {
	cases := []struct {
		err  error
		want pb.Reason
	}{
		{context.DeadlineExceeded, pb.Reason_REASON_DEADLINE},
		{fmt.Errorf("read: %w", context.Canceled), pb.Reason_REASON_CANCELLED},
		{errors.New("boom"), pb.Reason_REASON_INTERNAL},
		{fmt.Errorf("step: %w", NotRun(pb.Reason_REASON_NO_TICKET, "order.ticket", "")), pb.Reason_REASON_NO_TICKET},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(Classify(c.err, pb.OutcomeKind_OUTCOME_KIND_FAILED, "gather.search").Reason, c.want)
	}
}

func TestNoReasonMapsToCodeUnknown(t *testing.T) {
	for v := range pb.Reason_name {
		is := is.New(t)
		is.True(NotRun(pb.Reason(v), "s", "").Code() != connect.CodeUnknown) // CodeUnknown is reserved for orders that may have run
	}
}
