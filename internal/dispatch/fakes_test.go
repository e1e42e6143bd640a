package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

// behaviour returns how a fake leaf replies to its n-th call, counted from 0.
type behaviour func(n int) reply

// reply is the end of a call after a delay.
type reply struct {
	after  time.Duration
	status int
	// unsigned leaves the signature out. promise sets the status to one that promises that the request has not run, which the
	// leaf does not state.
	unsigned, promise bool
	refuse            bool
	moved             bool
	cause             leafcall.Cause
	// closed is set if nothing listens at the leaf's address.
	closed bool
	body   string
}

func ok(after time.Duration) behaviour    { return func(int) reply { return reply{after: after} } }
func always(r reply) behaviour            { return func(int) reply { return r } }
func fail(cause leafcall.Cause) behaviour { return always(reply{after: ms, cause: cause}) }
func first(r reply, then reply) behaviour { return func(n int) reply { return pick(n == 0, r, then) } }
func pick(first bool, a, b reply) reply   { return map[bool]reply{true: a, false: b}[first] }
func refuses() behaviour                  { return always(reply{after: ms, refuse: true}) }

func (w *world) set(id string, b behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaves[id] = b
}

// oddFirst makes the shard's leaf that is called first from now on reply with odd. All other calls are answered
// after 10 ms.
func (w *world) oddFirst(shard string, odd reply) {
	calls := 0 // guarded by mu, which Do holds when it calls a behaviour
	for _, r := range []string{"-a", "-b", "-c"} {
		w.set(shard+r, func(int) reply {
			calls++
			return pick(calls == 1, odd, reply{after: 10 * ms})
		})
	}
}

const ms = time.Millisecond

// noColdLeaves stands for loads without cold leaves. It allows nothing to be sent to one.
type noColdLeaves struct{}

func (noColdLeaves) Available(catalog.Leaf, float64) bool { return false }
func (noColdLeaves) Take(catalog.Leaf, float64) bool      { return false }

// world is an engine with fake leaves, in virtual time.
type world struct {
	engine  *Engine
	budgets *retrybudget.Budgets
	view    *directory.View

	mu sync.Mutex
	// leaves by id; calls and full (leaves without a free connection) are guarded by mu.
	leaves    map[string]behaviour
	calls     map[string]int
	requests  []leafcall.Request
	full      map[string]bool
	abandoned int
	lost      map[string]int
	// blocked blocks all requests; cleared counts the requests that were reported as answered.
	blocked bool
	cleared int
	// suspect makes all requests suspects, with the suspicion.
	suspect   bool
	suspicion crashguard.Suspicion
	// judged counts the questions whether a request is a suspect.
	judged int
	traces []Trace
	// coldLeft is how many requests each cold leaf still gets, and coldSent how many each got.
	coldLeft, coldSent map[string]int
}

func (w *world) Current() *directory.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// Await polls every millisecond.
func (w *world) Await(ctx context.Context, limit time.Duration) *directory.View {
	for end := time.Now().Add(limit); w.Current().Config == nil && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(ms)
	}
	return w.Current()
}

func (w *world) Free(id catalog.LeafID) (free, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.full[id.String()], true
}

func (w *world) Do(ctx context.Context, leaf catalog.LeafID, r *leafcall.Request) (*leafcall.Response, error) {
	id := leaf.String()
	w.mu.Lock()
	b := w.leaves[id](w.calls[id])
	w.calls[id]++
	w.requests = append(w.requests, *r)
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		w.mu.Lock()
		w.abandoned++
		w.mu.Unlock()
		return nil, &leafcall.Error{Cause: leafcall.Abandoned, Sent: true, Err: ctx.Err()}
	case <-time.After(b.after):
	}
	switch {
	case b.cause != "":
		sent := b.cause != leafcall.NoConnection && b.cause != leafcall.ConnectionFull
		return nil, &leafcall.Error{Cause: b.cause, Sent: sent, Refused: b.closed, Peer: id, Err: context.Canceled}
	case b.refuse:
		return &leafcall.Response{Status: http.StatusServiceUnavailable, NotRun: true, Signature: "s"}, nil
	case b.moved:
		return &leafcall.Response{Status: http.StatusMisdirectedRequest, NotRun: true, WrongIncarnation: true}, nil
	case b.unsigned:
		return &leafcall.Response{Status: cmp.Or(b.status, http.StatusOK), Body: []byte("spoiled")}, nil
	case b.promise:
		return &leafcall.Response{Status: http.StatusServiceUnavailable, PromisesNotRun: true, Signature: "bad-" + id}, nil
	case b.status != 0:
		return &leafcall.Response{Status: b.status, Signature: "bad-" + id, Body: []byte("why")}, nil
	}
	body := b.body
	if body == "" {
		body = fmt.Sprintf("%-16s", id)
	}
	return &leafcall.Response{Status: http.StatusOK, Signature: "sig-" + id, Body: []byte(body)}, nil
}

func (w *world) Available(l catalog.Leaf, _ float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.coldLeft[l.ID.Name] > 0
}

func (w *world) Take(l catalog.Leaf, _ float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.coldLeft[l.ID.Name] == 0 {
		return false
	}
	w.coldLeft[l.ID.Name]--
	w.coldSent[l.ID.Name]++
	return true
}

func (w *world) Blocked(uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.blocked
}
func (w *world) Lost(l crashguard.Loss) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost[l.Leaf.String()]++
}
func (w *world) Answered(uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cleared++
}
func (w *world) Down(catalog.LeafID)     {}
func (w *world) Replaced(catalog.LeafID) {}
func (w *world) Suspect(uint64) (crashguard.Suspicion, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judged++
	return w.suspicion, w.suspect
}
func (w *world) Ended(_ *Request, _ *Answer, t *Trace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.traces = append(w.traces, *t)
}

func (w *world) callsTo(ids ...string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, id := range ids {
		n += w.calls[id]
	}
	return n
}

// shards is the number of shards of the search route, each with leaves sN-a, sN-b and sN-c.
const shards = 10

// shardNames returns the names of n shards.
func shardNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	return names
}

// replicasOf returns three leaves, -a, -b and -c, for each service, in the engine's zone. It calls each for every
// leaf with the index of its service.
func replicasOf(services []string, slots int, each func(service int, id string)) map[string][]catalog.Leaf {
	leaves := make(map[string][]catalog.Leaf)
	for i, s := range services {
		for _, r := range []string{"-a", "-b", "-c"} {
			each(i, s+r)
			leaves[s] = append(leaves[s], catalog.Leaf{ID: catalog.LeafID{Name: s + r}, Service: s, Slots: slots, Zone: "z"})
		}
	}
	return leaves
}

// wideView returns a view with one search route over the shards, 95 in 100 of which are needed, with a target of
// 150 ms.
func wideView(names []string, leaves map[string][]catalog.Leaf) *directory.View {
	route := &catalog.Route{
		Name: "s", Host: "h", Prefix: "/s/", Idempotent: true, Timeout: 800 * ms, Target: 150 * ms, MaxAttempts: 2,
		Shards: names, TopK: 3, MinShare: 0.95,
	}
	return &directory.View{Config: catalog.New(3, []*catalog.Route{route}, nil, catalog.Limits{}), Leaves: leaves, Revision: 9}
}

// newWorld has a search route /s/ over ten shards that needs nine, an idempotent route /i/ and a non-idempotent
// route /o/ to service x with leaves x-a, x-b and x-c, and a split route /w/. All leaves answer in 10 ms.
func newWorld() *world {
	w := &world{leaves: make(map[string]behaviour), calls: make(map[string]int), full: make(map[string]bool), lost: make(map[string]int), coldLeft: make(map[string]int), coldSent: make(map[string]int)}
	names := shardNames(shards)
	leaves := replicasOf(append([]string{"x", "y"}, names...), 3, func(_ int, id string) { w.leaves[id] = ok(10 * ms) })
	route := func(name string, idempotent bool, split ...catalog.Weighted) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 2 * time.Second, Target: 600 * ms,
			MaxAttempts: 2, Split: split,
		}
	}
	one := catalog.Weighted{Service: "x", Weight: 1}
	routes := []*catalog.Route{
		{
			Name: "s", Host: "h", Prefix: "/s/", Idempotent: true, Timeout: 800 * ms, Target: 150 * ms, MaxAttempts: 2,
			Shards: names, TopK: 3, MinShare: 0.89,
		},
		route("i", true, one), route("o", false, one),
		route("w", true, catalog.Weighted{Service: "x", Weight: 3}, catalog.Weighted{Service: "y", Weight: 1}),
	}
	w.view = &directory.View{Config: catalog.New(3, routes, nil, catalog.Limits{}), Leaves: leaves, Revision: 9}
	w.budgets = retrybudget.New(retrybudget.Limit{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}, time.Now)
	w.engine = New(Location{Zone: "z", Regions: map[string]string{"z": "home", "far": "abroad"}}, w, w, replica.New(), w.budgets, w, w, openGate{}, w)
	return w
}

// play runs f in virtual time.
func play(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		f(t, w)
		w.engine.Wait()
	})
}

// ask serves a request of the route and returns the answer and the elapsed time.
func (w *world) ask(ctx context.Context, path string) (*Answer, time.Duration) {
	start := time.Now()
	a := w.engine.Serve(ctx, &Request{ID: "r1", Method: "GET", Host: "h", Path: path, Target: path, Remaining: 2 * time.Second, Arrived: start})
	return a, time.Since(start)
}

// openGate admits every request.
type openGate struct{}

func (openGate) Admit(time.Time, overload.Request) overload.Decision {
	return overload.Decision{Admitted: true}
}
