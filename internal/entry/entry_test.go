package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	searchPath = "/burdock.v1.QueryService/Search"
	ticketPath = "/burdock.v1.QueryService/IssueTicket"
	orderPath  = "/burdock.v1.QueryService/Order"
	goodSearch = `{"service":"teachers","kind":"dawn","query":"maths"}`
)

func newReader(s string) io.Reader { return strings.NewReader(s) }

// wireError is an error as a plain HTTP caller receives it.
type wireError struct {
	Code    string `json:"code"`
	Details []struct {
		Type  string `json:"type"`
		Debug struct {
			Kind       string `json:"kind"`
			Reason     string `json:"reason"`
			Step       string `json:"step"`
			RetryAfter string `json:"retryAfter"`
			RequestID  string `json:"requestId"`
		} `json:"debug"`
	} `json:"details"`
}

// readError returns the typed outcome of a response, which must have one.
func readError(t *testing.T, res *http.Response) wireError {
	t.Helper()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	var e wireError
	if err := json.Unmarshal(body, &e); err != nil || len(e.Details) != 1 || e.Details[0].Type != "burdock.v1.Outcome" {
		t.Fatalf("no typed outcome in %d %s", res.StatusCode, body)
	}
	return e
}

func TestAnswersOverPlainHTTP(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	for path, body := range map[string]string{
		searchPath: goodSearch,
		ticketPath: `{"service":"teachers","kind":"booking"}`,
		orderPath:  `{"service":"teachers","kind":"booking","ticket":"vm-1","key":"k"}`,
	} {
		res := w.post(t, path, body, nil)
		is.Equal(res.StatusCode, http.StatusOK)
		var answer struct {
			RequestID string `json:"requestId"`
		}
		is.NoErr(json.NewDecoder(res.Body).Decode(&answer))
		is.Equal(answer.RequestID, res.Header.Get(HeaderRequestID))
	}
	is.Equal(int(w.gather.calls.Load()), 3)
}

func TestInvalidInputIsTypedCountedAndNotForwarded(t *testing.T) {
	long := strings.Repeat("x", 65)
	tests := map[string]struct {
		path, body string
		header     map[string]string
		status     int
		reason     string
	}{
		"malformed JSON":       {searchPath, `{"service":`, nil, 400, "INVALID_REQUEST"},
		"only unknown fields":  {searchPath, `{"colour":1}`, nil, 404, "UNKNOWN_SERVICE"},
		"not UTF-8":            {searchPath, "{\"service\":\"teachers\",\"kind\":\"dawn\",\"query\":\"\xff\"}", nil, 400, "INVALID_REQUEST"},
		"not UTF-8, binary":    {searchPath, "\x1a\x01\xff", map[string]string{"Content-Type": "application/proto"}, 400, "INVALID_REQUEST"},
		"malformed binary":     {searchPath, "\xff\xff", map[string]string{"Content-Type": "application/proto"}, 400, "INVALID_REQUEST"},
		"unknown procedure":    {"/burdock.v1.QueryService/Nothing", `{}`, nil, 404, "INVALID_REQUEST"},
		"unknown path":         {"/", `{}`, nil, 404, "INVALID_REQUEST"},
		"content type":         {searchPath, goodSearch, map[string]string{"Content-Type": "text/plain"}, 400, "INVALID_REQUEST"},
		"unknown compression":  {searchPath, goodSearch, map[string]string{"Content-Encoding": "br"}, 501, "INVALID_REQUEST"},
		"protocol version":     {searchPath, goodSearch, map[string]string{"Connect-Protocol-Version": "9"}, 400, "INVALID_REQUEST"},
		"body too large":       {searchPath, `{"query":"` + strings.Repeat("x", 8<<10) + `"}`, nil, 400, "TOO_LARGE"},
		"query too long":       {searchPath, `{"service":"teachers","kind":"dawn","query":"` + long + `"}`, nil, 400, "TOO_LARGE"},
		"payload too long":     {orderPath, `{"service":"teachers","kind":"booking","ticket":"t","payload":"` + long + `"}`, nil, 400, "TOO_LARGE"},
		"top_k negative":       {searchPath, `{"service":"teachers","kind":"dawn","topK":-1}`, nil, 400, "INVALID_REQUEST"},
		"top_k above limit":    {searchPath, `{"service":"teachers","kind":"dawn","topK":101}`, nil, 400, "INVALID_REQUEST"},
		"unknown service":      {searchPath, `{"service":"pilots","kind":"dawn"}`, nil, 404, "UNKNOWN_SERVICE"},
		"unknown kind":         {searchPath, `{"service":"teachers","kind":"noon"}`, nil, 404, "UNKNOWN_SERVICE"},
		"kind of other mode":   {searchPath, `{"service":"teachers","kind":"booking"}`, nil, 404, "UNKNOWN_SERVICE"},
		"order without ticket": {orderPath, `{"service":"teachers","kind":"booking"}`, nil, 400, "NO_TICKET"},
		"timeout 0":            {searchPath, goodSearch, map[string]string{HeaderTimeout: "0"}, 400, "DEADLINE_INVALID"},
		"timeout negative":     {searchPath, goodSearch, map[string]string{HeaderTimeout: "-5"}, 400, "DEADLINE_INVALID"},
		"timeout no number":    {searchPath, goodSearch, map[string]string{HeaderTimeout: "soon"}, 400, "DEADLINE_INVALID"},
		"timeout above limit":  {searchPath, goodSearch, map[string]string{HeaderTimeout: "10001"}, 400, "DEADLINE_INVALID"},
		"timeout overflows":    {searchPath, goodSearch, map[string]string{HeaderTimeout: "99999999999"}, 400, "DEADLINE_INVALID"},
		"no token":             {searchPath, goodSearch, map[string]string{"Authorization": ""}, 401, "UNAUTHENTICATED"},
		"wrong token":          {searchPath, goodSearch, map[string]string{"Authorization": "Bearer other"}, 401, "UNAUTHENTICATED"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEntry(t)
			res := w.post(t, test.path, test.body, test.header)
			e := readError(t, res)
			is.Equal(res.StatusCode, test.status)
			is.Equal(e.Details[0].Debug.Kind, "OUTCOME_KIND_NOT_RUN")
			is.Equal(e.Details[0].Debug.Reason, "REASON_"+test.reason)
			is.Equal(e.Details[0].Debug.RequestID, res.Header.Get(HeaderRequestID))
			is.Equal(testutil.CollectAndCount(w.manager.metrics.requests), 1) // one label set
			is.Equal(int(w.gather.calls.Load()), 0)                           // nothing was forwarded
			is.Equal(w.post(t, searchPath, goodSearch, nil).StatusCode, 200)  // the process keeps serving
		})
	}
}

// TestOtherProtocolIsRefusedInThatProtocol uses gRPC over HTTP/2 without TLS, whose errors are sent
// in trailers.
func TestOtherProtocolIsRefusedInThatProtocol(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	client := rpc.NewClient("")
	t.Cleanup(client.CloseIdleConnections)
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+testToken)
			return next(ctx, r)
		}
	})
	req := &pb.SearchRequest{Service: "teachers", Kind: "dawn"}
	grpc := burdockv1connect.NewQueryServiceClient(client, w.url, connect.WithGRPC(), connect.WithInterceptors(auth))
	_, err := grpc.Search(t.Context(), req)
	e, ok := outcome.FromConnect(err)
	is.True(ok)
	is.Equal(e.Reason, pb.Reason_REASON_INVALID_REQUEST)
	_, err = burdockv1connect.NewQueryServiceClient(client, w.url, connect.WithInterceptors(auth)).Search(t.Context(), req)
	is.NoErr(err) // connect over HTTP/2 without TLS
}

// Guards against answers through one entry that return to an older bundle. It happened when the
// next gather and the entry itself did not have the newer bundle yet.
func TestGatherIsAskedForBundleOfEarlierAnswers(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	var asked, answer uint64
	w.gather.search = func(_ context.Context, r *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error) {
		asked = r.GetIdentity().GetBundleVersion()
		return &pb.GatherSearchResponse{Identity: r.Identity, Search: &pb.SearchResponse{
			Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE}, BundleVersion: answer,
		}}, nil
	}
	own := w.feed.Current().Bundle.Version
	for _, step := range []struct{ answer, asked uint64 }{{own + 2, own}, {own + 1, own + 2}, {own, own + 2}} {
		answer = step.answer
		is.Equal(w.post(t, searchPath, goodSearch, nil).StatusCode, http.StatusOK)
		is.Equal(asked, step.asked)
	}
}

// TestLongBodyGetsTypedRefusal: a caller that is still writing a body that is too long receives the
// typed refusal, not a broken connection.
func TestLongBodyGetsTypedRefusal(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	body := strings.Repeat("x", 250<<10)
	for range 200 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.url+searchPath, newReader(body))
		is.NoErr(err)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Authorization", "Bearer "+testToken)
		res, err := client.Do(req)
		is.NoErr(err)
		e := readError(t, res)
		is.NoErr(res.Body.Close())
		is.Equal(e.Details[0].Debug.Reason, "REASON_TOO_LARGE")
	}
}
