package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/standin/control"
)

const (
	// HeaderRevision is the header with the revision of the value that is served.
	HeaderRevision = "Platform-Revision"
	// maxWait is the longest wait of a watch.
	maxWait = time.Minute
)

// readHandler serves /v1/ to the system. It allows only GET.
func (p *Platform) readHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/keys/{key...}", getOnly(p.serveKey))
	mux.HandleFunc("/v1/list", getOnly(p.serveList))
	return mux
}

func getOnly(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "the platform can only be read", http.StatusMethodNotAllowed)
			return
		}
		h(w, r)
	}
}

// watchQuery holds the after and wait parameters of a read.
type watchQuery struct {
	// conditional is true if the client wants only a revision above after.
	conditional bool
	after       uint64
	// wait is the longest time to wait for that revision; 0 answers at once.
	wait time.Duration
}

func parseWatchQuery(r *http.Request) (watchQuery, error) {
	q := r.URL.Query()
	if !q.Has("after") {
		return watchQuery{}, nil
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return watchQuery{}, eris.Errorf("after: want a revision, got %q", q.Get("after"))
	}
	query := watchQuery{conditional: true, after: after}
	if !q.Has("wait") {
		return query, nil
	}
	query.wait, err = time.ParseDuration(q.Get("wait"))
	if err != nil || query.wait < 0 || query.wait > maxWait {
		return watchQuery{}, eris.Errorf("wait: want a duration up to %v, got %q", maxWait, q.Get("wait"))
	}
	return query, nil
}

// beginRead counts the read, parses its query and waits while the platform hangs. It answers 400 to
// a malformed query. It returns false if the request needs no further answer.
func (p *Platform) beginRead(w http.ResponseWriter, r *http.Request, kind readKind) (watchQuery, bool) {
	query, err := parseWatchQuery(r)
	p.reads.countRead(kind, r, err == nil && query.wait > 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return watchQuery{}, false
	}
	return query, p.hang.wait(r.Context())
}

func (p *Platform) serveKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query, ok := p.beginRead(w, r, kindOfKey(key))
	if !ok {
		return
	}
	var v Value
	newer := p.awaitNewer(r.Context(), query, func() (bool, <-chan struct{}, time.Duration) {
		var change <-chan struct{}
		v, change = p.store.key(key)
		return v.Revision > query.after, change, 0
	})
	if !p.hang.wait(r.Context()) {
		return
	}
	setRevision(w, v.Revision)
	switch {
	case !v.Found:
		http.Error(w, "unknown key", http.StatusNotFound)
	case !newer && query.conditional:
		w.WriteHeader(http.StatusNoContent)
	default:
		_, _ = w.Write(v.Data)
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	query, ok := p.beginRead(w, r, kindList)
	if !ok {
		return
	}
	var l List
	newer := p.awaitNewer(r.Context(), query, func() (bool, <-chan struct{}, time.Duration) {
		var change <-chan struct{}
		var next time.Duration
		l, change, next = p.store.list()
		return l.Revision > query.after, change, next
	})
	if !p.hang.wait(r.Context()) {
		return
	}
	setRevision(w, l.Revision)
	if !newer && query.conditional {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	control.WriteJSON(w, l)
}

func setRevision(w http.ResponseWriter, revision uint64) {
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
}

// awaitNewer calls look until it reports a newer revision, the wait passes or ctx ends, and reports
// whether look found one. look also returns a channel that is closed at the next change and the time
// after which to look again; 0 is none.
func (p *Platform) awaitNewer(ctx context.Context, query watchQuery, look func() (bool, <-chan struct{}, time.Duration)) bool {
	newer, change, recheckAfter := look()
	if newer || query.wait <= 0 {
		return newer
	}
	p.reads.addWaiting(1)
	defer p.reads.addWaiting(-1)
	end := time.NewTimer(query.wait)
	defer end.Stop()
	for !newer {
		recheck := timerAfter(recheckAfter)
		select {
		case <-ctx.Done():
			return false
		case <-end.C:
			return false
		case <-change:
		case <-recheck.C:
		}
		recheck.Stop()
		newer, change, recheckAfter = look()
	}
	return true
}

// timerAfter returns a timer for d, or one that never fires if d is 0.
func timerAfter(d time.Duration) *time.Timer {
	if d > 0 {
		return time.NewTimer(d)
	}
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}
