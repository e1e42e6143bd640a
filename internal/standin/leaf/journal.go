package leaf

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// SearchState is how far a search came.
type SearchState string

// The states of a search. Delivered is set before the answer is written, so that no answer that
// was received is missing; failed is an error made by a fault.
const (
	SearchStarted   SearchState = "started"
	SearchDelivered SearchState = "delivered"
	SearchCancelled SearchState = "cancelled"
	SearchFailed    SearchState = "failed"
)

// Search is one search that took a slot, or that stalled.
type Search struct {
	RequestID string      `json:"request_id"`
	Shard     uint32      `json:"shard"`
	Snapshot  uint64      `json:"snapshot"`
	Query     string      `json:"query"`
	State     SearchState `json:"state"`
	At        time.Time   `json:"at"`
}

// Execution is one order whose effect started. Refused orders never appear.
type Execution struct {
	Ticket    string    `json:"ticket"`
	RequestID string    `json:"request_id"`
	Key       string    `json:"key"`
	Payload   string    `json:"payload"`
	At        time.Time `json:"at"`
}

// Delivery is one answer to a search as it went out: what it says of itself, whatever was asked.
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

// DrainNotice is the leaf's word that it drains: to the caller at the IP number To, or to all by the end
// of the present connections where To is empty.
type DrainNotice struct {
	At time.Time `json:"at"`
	To string    `json:"to"`
}

// Crash is the request that a leaf crashed at.
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
}

// Counts are since the start or the last DELETE /log.
type Counts struct {
	// Searches counts all that started, logged or not.
	Searches           uint64   `json:"searches"`
	Executions         uint64   `json:"executions"`
	Refused            Refusals `json:"refused"`
	Crashes            uint64   `json:"crashes"`
	ConnectionsNow     int      `json:"connections_now"`
	ConnectionsMax     int      `json:"connections_max"`
	ConnectionsRefused uint64   `json:"connections_refused"`
	// InFlightMax is the most calls at once, running and queued together; QueuedMax the queued.
	InFlightMax int `json:"in_flight_max"`
	QueuedMax   int `json:"queued_max"`
	// LastArrival is when the newest search or order arrived, refused ones too.
	LastArrival time.Time `json:"last_arrival"`
}

// Log is what GET /log shows.
type Log struct {
	Leaf        string      `json:"leaf"`
	Incarnation uint64      `json:"incarnation"`
	Searches    []Search    `json:"searches"`
	Executions  []Execution `json:"executions"`
	Counts      Counts      `json:"counts"`
}

// journal keeps the logs of one leaf.
type journal struct {
	maxSearches int
	file        *os.File

	mu sync.Mutex
	// The fields below are guarded by mu.
	searches   []*Search
	executions []Execution
	counts     Counts
	// lastCrash is the one written last.
	lastCrash crashID
}

// crashID names a crash: the start of the leaf that it ended, and the text that did.
type crashID struct {
	instance uint64
	text     string
}

// newJournal returns an empty journal. Where path is not empty lines are appended to that file.
func newJournal(limit int, path string) (*journal, error) {
	j := &journal{maxSearches: limit}
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

// arrived notes a call before anything is decided about it.
func (j *journal) arrived(requestID, from string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.LastArrival = now
	j.write(FileLine{Arrival: &Arrival{RequestID: requestID, At: now, From: from}})
}

// drainNotified notes that a caller, or all where to is empty, is told that the leaf drains.
func (j *journal) drainNotified(to string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(FileLine{Notice: &DrainNotice{At: now, To: to}})
}

// searchStarted logs a search; the result goes to searchEnded.
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

// delivered ends a search whose answer is about to be written.
func (j *journal) delivered(s *Search, res *pb.LeafSearchResponse) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.State = SearchDelivered
	j.write(FileLine{Delivery: &Delivery{
		RequestID: res.GetRequestId(), Shard: res.GetShard(), Snapshot: res.GetSnapshot(), Hits: len(res.GetHits()),
	}})
}

// executed logs an order at the moment that its effect starts.
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
	}
}

// crashed notes that the leaf crashed at a text. Two requests with it may run beside each other at the moment of the
// crash; they end one start of the leaf, so that the text has one crash.
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

// clear empties logs and counts.
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

// FileLine is one line of the log file; one field is set.
type FileLine struct {
	Arrival   *Arrival     `json:"arrival,omitempty"`
	Notice    *DrainNotice `json:"notice,omitempty"`
	Search    *Search      `json:"search,omitempty"`
	Delivery  *Delivery    `json:"delivery,omitempty"`
	Execution *Execution   `json:"execution,omitempty"`
	Crash     *Crash       `json:"crash,omitempty"`
}

// write appends a line to the file. j.mu is held.
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
