package scenarios

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/entry"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// request is a request of a caller through an entry.
type request struct {
	entry   *node
	token   string
	timeout time.Duration
	// Exactly one of these is set.
	search *pb.SearchRequest
	issue  *pb.IssueTicketRequest
	order  *pb.OrderRequest
	// client sends the request; if it is nil, a new client with the connection does.
	client     *http.Client
	connection connection
}

// reply is the result of a request.
type reply struct {
	outcome *pb.Outcome
	search  *pb.SearchResponse
	issue   *pb.IssueTicketResponse
	order   *pb.OrderResponse
	// request is the request that was sent, query the text of a search.
	request *request
	query   string
	// header is the request id in the response's header.
	header  string
	elapsed time.Duration
	// err is set if the response had no typed outcome.
	err error
}

// requests holds the replies of a scenario, and tickets by the names that the script gave them.
type requests struct {
	mu sync.Mutex
	// The fields below are guarded by mu. last is the newest reply of the script itself, named holds the
	// replies of background requests, all holds every reply of the scenario in order of arrival.
	last  *reply
	named map[string]*reply
	all   []*reply

	running sync.WaitGroup
	// tickets is used by the script's goroutine only.
	tickets map[string]*issuedTicket
}

// issuedTicket is an issued ticket with the key and payload of its order.
type issuedTicket struct {
	text         string
	key, payload string
}

func newRequests() *requests {
	return &requests{named: make(map[string]*reply), tickets: make(map[string]*issuedTicket)}
}

func (r *requests) wait() { r.running.Wait() }

// record adds a reply to the history.
func (r *requests) record(rep *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rep)
}

// history returns all replies so far.
func (r *requests) history() []*reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}

func (r *requests) setLast(rep *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = rep
}

func (r *requests) getLast() (*reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		return nil, fmt.Errorf("no request has been sent yet")
	}
	return r.last, nil
}

// background sends the request without waiting and stores the reply under the name, which must be new.
func (r *requests) background(name string, req *request) {
	r.mu.Lock()
	_, used := r.named[name]
	r.named[name] = nil
	if used {
		r.named[name] = &reply{err: fmt.Errorf("the script uses the name %s twice", name)}
	}
	r.mu.Unlock()
	if used {
		return
	}
	r.running.Go(func() {
		rep := req.send()
		r.record(rep)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.named[name] = rep
	})
}

// backgroundReplies returns the background replies so far as text.
func (r *requests) backgroundReplies() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for name, rep := range r.named {
		if rep != nil {
			all = append(all, name+": "+rep.String())
		}
	}
	return strings.Join(all, "; ")
}

// takeReply makes the named background reply the last one. It returns an error if there is no reply yet.
func (r *requests) takeReply(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.named[name]
	if rep == nil {
		return fmt.Errorf("%s has no reply yet", name)
	}
	r.last = rep
	return nil
}

// replyGracePeriod is how long after its timeout a caller still accepts a reply, which may come late on a
// busy machine; the reply's elapsed time shows it. After that the request fails.
const replyGracePeriod = 2 * time.Second

// send sends the request once and waits for the reply.
func (q *request) send() *reply {
	ctx, cancel := context.WithCancel(context.Background())
	defer time.AfterFunc(q.timeout+replyGracePeriod, cancel).Stop()
	defer cancel()
	ctx, info := connect.NewClientContext(ctx)
	info.RequestHeader().Set("Authorization", "Bearer "+q.token)
	info.RequestHeader().Set(entry.HeaderTimeout, strconv.FormatInt(q.timeout.Milliseconds(), 10))
	client := q.client
	if client == nil {
		client = q.connection.client()
		defer client.CloseIdleConnections()
	}
	url := fmt.Sprintf("http://%s:%d", q.entry.bind, settings.DefaultEntryPort)
	rep := &reply{request: q, query: q.search.GetQuery()}
	start := time.Now()
	err := q.call(ctx, burdockv1connect.NewQueryServiceClient(client, url, q.connection.options()...), rep)
	rep.elapsed = time.Since(start)
	rep.header = info.ResponseHeader().Get(entry.HeaderRequestID)
	rep.setError(err)
	return rep
}

func (q *request) call(ctx context.Context, c burdockv1connect.QueryServiceClient, rep *reply) error {
	var err error
	switch {
	case q.search != nil:
		rep.search, err = c.Search(ctx, q.search)
		rep.outcome = rep.search.GetOutcome()
	case q.issue != nil:
		rep.issue, err = c.IssueTicket(ctx, q.issue)
	default:
		rep.order, err = c.Order(ctx, q.order)
		rep.outcome = rep.order.GetOutcome()
	}
	return err
}

// setError sets the outcome from the details of an error, or err if there is none.
func (r *reply) setError(err error) {
	if err == nil {
		return
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		for _, d := range ce.Details() {
			if v, derr := d.Value(); derr == nil {
				r.outcome, _ = v.(*pb.Outcome)
			}
		}
	}
	if r.outcome == nil {
		r.err = err
	}
}

// requestID returns the request id that the reply names, empty if an error has none.
func (r *reply) requestID() string {
	switch {
	case r.search != nil:
		return r.search.GetRequestId()
	case r.order != nil:
		return r.order.GetRequestId()
	case r.issue != nil:
		return r.issue.GetRequestId()
	}
	return r.outcome.GetRequestId()
}

// String describes the reply for the scenario's log.
func (r *reply) String() string {
	elapsed := r.elapsed.Round(time.Millisecond)
	switch {
	case r.err != nil:
		return fmt.Sprintf("untyped error after %s: %v", elapsed, r.err)
	case r.issue != nil:
		return fmt.Sprintf("ticket after %s, expires %s", elapsed, r.issue.GetExpires().AsTime().Format(time.TimeOnly))
	case r.search != nil:
		return fmt.Sprintf("search after %s: %v, %d hits, coverage %v, snapshot %d, bundle %d",
			elapsed, r.outcome, len(r.search.GetHits()), r.search.GetCoverage(), r.search.GetSnapshot(), r.search.GetBundleVersion())
	case r.order != nil:
		return fmt.Sprintf("order after %s: %v, %q by %s, replayed %t, bundle %d",
			elapsed, r.outcome, r.order.GetResult(), r.order.GetLeaf(), r.order.GetReplayed(), r.order.GetBundleVersion())
	}
	return fmt.Sprintf("after %s: %v", elapsed, r.outcome)
}
