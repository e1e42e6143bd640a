package leaf

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// SearchState is the state of a logged search.
type SearchState string

// The states of a search. A search is delivered before its answer is written, so that the log contains
// each answer that a caller received. Failed is an injected error.
const (
	SearchStarted   SearchState = "started"
	SearchDelivered SearchState = "delivered"
	SearchCancelled SearchState = "cancelled"
	SearchFailed    SearchState = "failed"
)

// Search is a search that got a slot or stalled.
type Search struct {
	RequestID string      `json:"request_id"`
	Shard     uint32      `json:"shard"`
	Snapshot  uint64      `json:"snapshot"`
	Query     string      `json:"query"`
	State     SearchState `json:"state"`
	At        time.Time   `json:"at"`
}

// Execution is an order whose effect started. Refused orders are not logged.
type Execution struct {
	Ticket    string    `json:"ticket"`
	RequestID string    `json:"request_id"`
	Key       string    `json:"key"`
	Payload   string    `json:"payload"`
	At        time.Time `json:"at"`
}

// Delivery is an answer to a search as it was sent. Its fields are those of the answer, which a fault
// can make different from the request's.
type Delivery struct {
	RequestID string `json:"request_id"`
	Shard     uint32 `json:"shard"`
	Snapshot  uint64 `json:"snapshot"`
	Hits      int    `json:"hits"`
}

// Arrival is a call that reached the leaf, refused or not.
type Arrival struct {
	RequestID string    `json:"request_id"`
	At        time.Time `json:"at"`
	// From is the caller's IP number.
	From string `json:"from"`
}

// DrainNotice records that the leaf reported its drain: to the caller at the IP number To, or, if To is
// empty, to all callers by closing the open connections.
type DrainNotice struct {
	At time.Time `json:"at"`
	To string    `json:"to"`
}

// Crash is a request that crashed the leaf.
type Crash struct {
	RequestID string    `json:"request_id"`
	Text      string    `json:"text"`
	At        time.Time `json:"at"`
}

// Refusals counts calls that were refused before they started, by reason.
type Refusals struct {
	Shed         uint64 `json:"shed"`
	Draining     uint64 `json:"draining"`
	SnapshotGone uint64 `json:"snapshot_gone"`
	WrongShard   uint64 `json:"wrong_shard"`
	Deadline     uint64 `json:"deadline"`
	TooLate      uint64 `json:"too_late"`
}

// Counts are counts since the start or the last DELETE /log.
type Counts struct {
	// Searches counts all searches that started, logged or not.
	Searches           uint64   `json:"searches"`
	Executions         uint64   `json:"executions"`
	Refused            Refusals `json:"refused"`
	Crashes            uint64   `json:"crashes"`
	ConnectionsNow     int      `json:"connections_now"`
	ConnectionsMax     int      `json:"connections_max"`
	ConnectionsRefused uint64   `json:"connections_refused"`
	// InFlightMax is the highest number of calls in flight, running or queued; QueuedMax is the highest
	// number of queued calls.
	InFlightMax int `json:"in_flight_max"`
	QueuedMax   int `json:"queued_max"`
	// LastArrival is the time when the newest search or order arrived, refused or not.
	LastArrival time.Time `json:"last_arrival"`
}

// Log is the answer to GET /log.
type Log struct {
	Leaf        string      `json:"leaf"`
	Incarnation uint64      `json:"incarnation"`
	Searches    []Search    `json:"searches"`
	Executions  []Execution `json:"executions"`
	Counts      Counts      `json:"counts"`
}

// journal keeps the logs of one leaf in memory and, if file is set, in a file of JSON lines. It logs at
// most maxSearches searches in memory. It is safe for concurrent use.
type journal struct {
	maxSearches int
	file        *os.File

	mu sync.Mutex
	// The fields below are guarded by mu.
	searches   []*Search
	executions []Execution
	counts     Counts
	// lastCrash is the newest logged crash.
	lastCrash crashID
}

// crashID names a crash: the start of the leaf that it ended, and the text that did.
type crashID struct {
	instance uint64
	text     string
}

// newJournal returns an empty journal. If path is not empty, the journal appends its lines to that file.
func newJournal(maxSearches int, path string) (*journal, error) {
	j := &journal{maxSearches: maxSearches}
	if path == "" {
		return j, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "standin.leaf: log file")
	}
	j.file = f
	return j, nil
}

// arrived logs a call before the leaf accepts or refuses it.
func (j *journal) arrived(requestID, from string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.LastArrival = now
	j.write(FileLine{Arrival: &Arrival{RequestID: requestID, At: now, From: from}})
}

// drainNotified logs that the leaf reported its drain to the caller at the IP number to, or to all callers
// if to is empty.
func (j *journal) drainNotified(to string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(FileLine{Notice: &DrainNotice{At: now, To: to}})
}

// searchStarted logs a search. The caller passes the result to searchEnded or delivered.
func (j *journal) searchStarted(req *pb.LeafSearchRequest, now time.Time) *Search {
	s := &Search{
		RequestID: req.GetRequestId(), Shard: req.GetShard(), Snapshot: req.GetSnapshot(),
		Query: req.GetQuery(), State: SearchStarted, At: now,
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Searches++
	if len(j.searches) < j.maxSearches {
		j.searches = append(j.searches, s)
	}
	j.write(FileLine{Search: s})
	return s
}

func (j *journal) searchEnded(s *Search, state SearchState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.State = state
}

// delivered logs the answer that is about to be written and ends its search.
func (j *journal) delivered(s *Search, res *pb.LeafSearchResponse) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.State = SearchDelivered
	j.write(FileLine{Delivery: &Delivery{
		RequestID: res.GetRequestId(), Shard: res.GetShard(), Snapshot: res.GetSnapshot(), Hits: len(res.GetHits()),
	}})
}

// executed logs an order when its effect starts.
func (j *journal) executed(req *pb.LeafExecuteRequest, now time.Time) {
	e := Execution{
		Ticket: req.GetTicket(), RequestID: req.GetRequestId(), Key: req.GetKey(),
		Payload: req.GetPayload(), At: now,
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Executions++
	j.executions = append(j.executions, e)
	j.write(FileLine{Execution: &e})
}

func (j *journal) refused(reason pb.LeafRefusalReason) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &j.counts.Refused
	switch reason {
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED:
		r.Shed++
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING:
		r.Draining++
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE:
		r.SnapshotGone++
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD:
		r.WrongShard++
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE:
		r.Deadline++
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE:
		r.TooLate++
	}
}

// crashed logs that a request with the text crashed the leaf. Two requests with the same text may run
// concurrently when the leaf crashes. They end the same incarnation, so they count as one crash.
func (j *journal) crashed(instance uint64, requestID, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := crashID{instance: instance, text: text}
	if c == j.lastCrash {
		return
	}
	j.lastCrash = c
	j.counts.Crashes++
	j.write(FileLine{Crash: &Crash{RequestID: requestID, Text: text, At: time.Now()}})
}

// snapshot returns a copy of the logs and of the journal's own counts.
func (j *journal) snapshot() Log {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := Log{Searches: make([]Search, 0, len(j.searches)), Counts: j.counts}
	for _, s := range j.searches {
		l.Searches = append(l.Searches, *s)
	}
	l.Executions = append([]Execution{}, j.executions...)
	return l
}

// clear empties the logs and counts.
func (j *journal) clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.searches, j.executions, j.counts = nil, nil, Counts{}
}

func (j *journal) close() {
	if j.file != nil {
		_ = j.file.Close()
	}
}

// FileLine is one line of the log file. Exactly one field is set.
type FileLine struct {
	Arrival   *Arrival     `json:"arrival,omitempty"`
	Notice    *DrainNotice `json:"notice,omitempty"`
	Search    *Search      `json:"search,omitempty"`
	Delivery  *Delivery    `json:"delivery,omitempty"`
	Execution *Execution   `json:"execution,omitempty"`
	Crash     *Crash       `json:"crash,omitempty"`
}

// write appends a line to the file. The caller holds j.mu.
func (j *journal) write(line FileLine) {
	if j.file == nil {
		return
	}
	text, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = j.file.Write(append(text, '\n'))
}
