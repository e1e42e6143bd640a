package scenarios

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// load is a group of callers that send searches and orders in the background until finish. Their replies
// are part of the scenario's history.
type load struct {
	fleet   *fleet
	callers int
	kinds   []string
	entries []*node
	topKs   []int32
	timeout time.Duration
	pause   time.Duration
	// textCount is the number of texts that the callers share; with 0 each search has its own text.
	textCount int
	// connection describes the connection of each caller.
	connection connection
	// maxCutBytes, if set, gives each request its own connection that breaks after 1 to maxCutBytes bytes.
	maxCutBytes int
	// text, if set, is the text of every search. Otherwise word is part of every text.
	text string
	word string
	seed uint64

	stop    chan struct{}
	running sync.WaitGroup
	// shared is the client that half of the callers share.
	shared *http.Client

	mu sync.Mutex
	// replies is guarded by mu.
	replies []*reply
}

// start starts the callers.
func (l *load) start() {
	l.stop, l.shared = make(chan struct{}), l.connection.client()
	for i := range l.callers {
		l.running.Go(func() { l.run(i) })
	}
}

// soFar returns the tally of the replies so far.
func (l *load) soFar() *tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return tallyOf(l.replies)
}

// finish stops the callers, waits for the replies in flight and returns all replies.
func (l *load) finish() []*reply {
	if l.stop == nil {
		return l.replies
	}
	close(l.stop)
	l.running.Wait()
	l.stop = nil
	l.shared.CloseIdleConnections()
	return l.replies
}

// run sends the requests of one caller until finish.
func (l *load) run(caller int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(caller)))
	client := l.shared
	if caller%2 == 1 {
		client = l.connection.client()
		defer client.CloseIdleConnections()
	}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(l.pause):
		}
		q := l.request(caller, n, random)
		q.client, q.connection = client, l.connection
		if l.maxCutBytes > 0 {
			q.client, q.connection.cutAfterBytes = nil, 1+random.IntN(l.maxCutBytes)
		}
		if q.search.GetKind() != orderKind {
			l.send(q)
			continue
		}
		l.order(q)
	}
}

// send sends the request and records the reply.
func (l *load) send(q *request) *reply {
	rep := q.send()
	l.fleet.requests.record(rep)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, rep)
	return rep
}

// order turns a search of the order kind into an order: it requests a ticket and sends the order through
// the same entry.
func (l *load) order(q *request) {
	text := q.search.GetQuery()
	q.search = nil
	issue, order := *q, *q
	issue.issue = &pb.IssueTicketRequest{Service: serviceName, Kind: orderKind}
	t := l.send(&issue).issue.GetTicket()
	if t == "" {
		return
	}
	order.order = &pb.OrderRequest{Ticket: t, Service: serviceName, Kind: orderKind, Key: text, Payload: text}
	l.send(&order)
}

// request returns a random search. Callers of both names share texts and request different numbers of
// hits, so that an answer that goes to the wrong caller is noticed.
func (l *load) request(caller, n int, random *rand.Rand) *request {
	text := fmt.Sprintf("%s %d of caller %d", l.word, n, caller)
	switch {
	case l.text != "":
		text = l.text
	case l.textCount > 0:
		text = fmt.Sprintf("%s shared %d", l.word, random.IntN(l.textCount))
	}
	token := callerToken
	if caller%4 >= 2 {
		token = otherToken
	}
	return &request{
		entry: l.entries[random.IntN(len(l.entries))], token: token, timeout: l.timeout,
		search: &pb.SearchRequest{
			Service: serviceName, Kind: l.kinds[random.IntN(len(l.kinds))], Query: text,
			TopK: l.topKs[random.IntN(len(l.topKs))],
		},
	}
}

// tally counts how the replies of a load ended.
type tally struct {
	total    int
	outcomes map[string]int
	reasons  map[string]int
	// first holds the first reply of each outcome.
	first map[string]*reply
	// refusedForLoad counts the requests that were not run because the queue or the limiter was full.
	refusedForLoad int
	// untyped is the error of the last reply without an outcome.
	untyped error
	longest time.Duration
}

// forLoad reports whether load alone is the reason of a refusal.
func forLoad(r *reply) bool {
	reason := r.outcome.GetReason()
	return reason == pb.Reason_REASON_QUEUE_FULL || reason == pb.Reason_REASON_OVERLOAD
}

func tallyOf(replies []*reply) *tally {
	t := &tally{total: len(replies), outcomes: make(map[string]int), reasons: make(map[string]int), first: make(map[string]*reply)}
	for _, r := range replies {
		name := "untyped"
		if r.err != nil {
			t.untyped = r.err
		} else {
			name = outcomeOf(r)
			t.reasons[outcome.ReasonName(r.outcome.GetReason())]++
			if name == "not_run" && forLoad(r) {
				t.refusedForLoad++
			}
		}
		if t.outcomes[name]++; t.outcomes[name] == 1 {
			t.first[name] = r
		}
		t.longest = max(t.longest, r.elapsed)
	}
	return t
}

func (t *tally) String() string {
	text := fmt.Sprintf("%d replies, outcomes %v, reasons %v, longest %s", t.total, t.outcomes, t.reasons, t.longest.Round(time.Millisecond))
	if t.untyped != nil {
		text += fmt.Sprintf(", one untyped: %v", t.untyped)
	}
	return text
}

// answered counts whole and partial answers.
func (t *tally) answered() int { return t.outcomes["answered_whole"] + t.outcomes["answered_partial"] }

// check compares the tally with the options of the verb settle; see README.md.
func (t *tally) check(a *arguments) error {
	only := strings.Split(a.text("only", "answered_whole,answered_partial,not_run,failed"), ",")
	saw := strings.FieldsFunc(a.text("saw", ""), func(r rune) bool { return r == ',' })
	within := a.duration("within", time.Hour)
	if err := a.validate(1, 1); err != nil {
		return err
	}
	for name, n := range t.outcomes {
		if name == "not_run" && n == t.refusedForLoad && slices.Contains(only, "refused_for_load") {
			continue
		}
		if !slices.Contains(only, name) {
			return fmt.Errorf("%d replies are %s: %s; the first: %s", n, name, t, t.first[name])
		}
	}
	for _, name := range saw {
		if t.reasons[name] == 0 && t.outcomes[name] == 0 {
			return fmt.Errorf("no reply shows %s: %s", name, t)
		}
	}
	if t.longest > within {
		return fmt.Errorf("want every reply within %s: %s", within, t)
	}
	return nil
}
