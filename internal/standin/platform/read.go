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
	// HeaderRevision carries the revision of what a read shows.
	HeaderRevision = "Platform-Revision"
	// maxWait is the longest wait that a watch may ask for.
	maxWait = time.Minute
)

// readHandler serves /v1/ to the system. Only GET is allowed there.
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

// watchQuery is what a request asks about waiting.
type watchQuery struct {
	// conditional is true where only a revision above after is wanted.
	conditional bool
	after       uint64
	// wait is how long to wait for it; 0 answers at once.
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
	asked := watchQuery{conditional: true, after: after}
	if !q.Has("wait") {
		return asked, nil
	}
	asked.wait, err = time.ParseDuration(q.Get("wait"))
	if err != nil || asked.wait < 0 || asked.wait > maxWait {
		return watchQuery{}, eris.Errorf("wait: want a duration up to %v, got %q", maxWait, q.Get("wait"))
	}
	return asked, nil
}

// beginRead counts the read and returns what it asks for; it answers 400 where that makes no sense.
func (p *Platform) beginRead(w http.ResponseWriter, r *http.Request, kind readKind) (watchQuery, bool) {
	asked, err := parseWatchQuery(r)
	p.reads.countRead(kind, r, err == nil && asked.wait > 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return watchQuery{}, false
	}
	return asked, p.hang.wait(r.Context())
}

func (p *Platform) serveKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	asked, ok := p.beginRead(w, r, kindOfKey(key))
	if !ok {
		return
	}
	var v Value
	newer := p.awaitNewer(r.Context(), asked, func() (bool, <-chan struct{}, time.Duration) {
		var change <-chan struct{}
		v, change = p.store.key(key)
		return v.Revision > asked.after, change, 0
	})
	if !p.hang.wait(r.Context()) {
		return
	}
	setRevision(w, v.Revision)
	switch {
	case !v.Found:
		http.Error(w, "unknown key", http.StatusNotFound)
	case !newer && asked.conditional:
		w.WriteHeader(http.StatusNoContent)
	default:
		_, _ = w.Write(v.Data)
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	asked, ok := p.beginRead(w, r, kindList)
	if !ok {
		return
	}
	var l List
	newer := p.awaitNewer(r.Context(), asked, func() (bool, <-chan struct{}, time.Duration) {
		var change <-chan struct{}
		var next time.Duration
		l, change, next = p.store.list()
		return l.Revision > asked.after, change, next
	})
	if !p.hang.wait(r.Context()) {
		return
	}
	setRevision(w, l.Revision)
	if !newer && asked.conditional {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	control.WriteJSON(w, l)
}

func setRevision(w http.ResponseWriter, revision uint64) {
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
}

// awaitNewer calls look until it shows something newer, the wait passes or the client leaves. look also
// returns a channel closed at the next change and, above 0, after how long to look again.
func (p *Platform) awaitNewer(ctx context.Context, asked watchQuery, look func() (bool, <-chan struct{}, time.Duration)) bool {
	newer, change, again := look()
	if newer || asked.wait <= 0 {
		return newer
	}
	p.reads.addWaiting(1)
	defer p.reads.addWaiting(-1)
	end := time.NewTimer(asked.wait)
	defer end.Stop()
	for !newer {
		retry := timerAfter(again)
		select {
		case <-ctx.Done():
			return false
		case <-end.C:
			return false
		case <-change:
		case <-retry.C:
		}
		retry.Stop()
		newer, change, again = look()
	}
	return true
}

// timerAfter returns a timer for d, or one that does not fire where d is 0.
func timerAfter(d time.Duration) *time.Timer {
	if d > 0 {
		return time.NewTimer(d)
	}
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}
