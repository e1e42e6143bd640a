package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// get reads a path of the platform by a direct call of its handler.
func get(p *Platform, path string) *httptest.ResponseRecorder {
	return send(p.readHandler(), http.MethodGet, path, "")
}

func send(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// startRead starts a read and returns the channel that receives its answer.
func startRead(p *Platform, path string) <-chan *httptest.ResponseRecorder {
	answer := make(chan *httptest.ResponseRecorder, 1)
	go func() { answer <- get(p, path) }()
	synctest.Wait()
	return answer
}

func TestReadsOfKeys(t *testing.T) {
	p := newPlatform()
	p.PutKey("bundle/manifest", []byte("one"))
	p.PutKey("bundle/manifest", []byte("two"))
	cases := []struct {
		name, path     string
		code           int
		body, revision string
	}{
		{"newest value", "/v1/keys/bundle/manifest", 200, "two", "2"},
		{"newer than asked", "/v1/keys/bundle/manifest?after=1&wait=10s", 200, "two", "2"},
		{"not newer", "/v1/keys/bundle/manifest?after=2&wait=0s", 204, "", "2"},
		{"after without wait", "/v1/keys/bundle/manifest?after=2", 204, "", "2"},
		{"a revision of the future", "/v1/keys/bundle/manifest?after=9", 204, "", "2"},
		{"unknown key", "/v1/keys/none", 404, "unknown key\n", "0"},
		{"not a revision", "/v1/keys/bundle/manifest?after=x&wait=1s", 400, "after: want a revision, got \"x\"\n", ""},
		{"absurd wait", "/v1/keys/bundle/manifest?after=2&wait=9h", 400, "wait: want a duration up to 1m0s, got \"9h\"\n", ""},
		{"unknown path", "/v1/other", 404, "404 page not found\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := get(p, c.path)
			is.Equal(w.Code, c.code)
			is.Equal(w.Body.String(), c.body)
			is.Equal(w.Header().Get(HeaderRevision), c.revision)
		})
	}
}

func TestTheSystemCanOnlyRead(t *testing.T) {
	is := is.New(t)
	p := newPlatform()
	for _, method := range []string{"PUT", "POST", "DELETE", "PATCH", "HEAD"} {
		for _, path := range []string{"/v1/keys/bundle/manifest", "/v1/list"} {
			is.Equal(send(p.readHandler(), method, path, "x").Code, http.StatusMethodNotAllowed)
		}
	}
	is.Equal(get(p, "/v1/keys/bundle/manifest").Code, http.StatusNotFound)
}

func TestWatchAnswersOnChangeOrAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform()
		start := time.Now()
		answer := startRead(p, "/v1/keys/new?after=0&wait=10s")
		is.Equal(p.Reads().WaitingNow, 1)
		time.Sleep(3 * time.Second)
		p.PutKey("other", nil)
		p.PutKey("new", []byte("value"))
		is.Equal((<-answer).Body.String(), "value")
		is.Equal(time.Since(start), 3*time.Second)
		is.Equal((<-startRead(p, "/v1/keys/new?after=2&wait=10s")).Code, http.StatusNoContent)
		is.Equal((<-startRead(p, "/v1/keys/none?after=0&wait=10s")).Code, http.StatusNotFound)
		is.Equal(time.Since(start), 23*time.Second)
		is.Equal(p.Reads().WaitingNow, 0)
	})
}

func TestReadsAreCountedByKindAndSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform()
		get(p, "/v1/keys/bundle/manifest")
		<-startRead(p, "/v1/keys/bundle/manifest?after=0&wait=1s")
		get(p, "/v1/keys/bundle/section/ab")
		get(p, "/v1/keys/else")
		get(p, "/v1/list")
		want := Reads{
			Total: 5, Manifest: 2, Section: 1, Key: 1, List: 1, Watches: 1,
			BySource: map[string]uint64{"192.0.2.1": 5},
		}
		is.Equal(p.Reads(), want) // a watch counts once, at its start
	})
}

// listedLeaves returns the ids of the leaves in an answer.
func listedLeaves(is *is.I, w *httptest.ResponseRecorder) []string {
	is.Equal(w.Code, http.StatusOK)
	var l List
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &l))
	ids := []string{}
	for _, leaf := range l.Leaves {
		ids = append(ids, leaf.ID)
	}
	return ids
}

func TestListLagsAndWatchReturnsItAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform()
		is.Equal(listedLeaves(is, get(p, "/v1/list")), []string{})
		p.store.setFaults(0, 20*time.Second)
		p.PutList(List{Leaves: []Leaf{{ID: "a"}}})
		is.Equal(listedLeaves(is, get(p, "/v1/list")), []string{"a"}) // the first does not lag
		start := time.Now()
		p.PutList(List{Leaves: []Leaf{{ID: "b"}}})
		time.Sleep(10 * time.Second)
		p.PutList(List{Leaves: []Leaf{{ID: "c"}}})
		is.Equal(listedLeaves(is, get(p, "/v1/list")), []string{"a"})
		is.Equal(listedLeaves(is, <-startRead(p, "/v1/list?after=1&wait=1m")), []string{"b"})
		is.Equal(time.Since(start), 20*time.Second)
		is.Equal(listedLeaves(is, <-startRead(p, "/v1/list?after=2&wait=1m")), []string{"c"})
		is.Equal(time.Since(start), 30*time.Second)
	})
}

func TestStaleRevisionServesOldBundleKeys(t *testing.T) {
	is := is.New(t)
	p := newPlatform()
	p.PutKey("bundle/manifest", []byte("old"))
	p.PutKey("bundle/manifest", []byte("new"))
	p.PutKey("bundle/section/ab", []byte("section"))
	p.PutKey("other", []byte("kept"))
	p.store.setFaults(1, 0)
	w := get(p, "/v1/keys/bundle/manifest")
	is.Equal(w.Body.String(), "old")
	is.Equal(w.Header().Get(HeaderRevision), "1")
	is.Equal(get(p, "/v1/keys/bundle/manifest?after=2").Code, http.StatusNoContent)
	is.Equal(get(p, "/v1/keys/bundle/section/ab").Code, http.StatusNotFound)
	is.Equal(get(p, "/v1/keys/other").Body.String(), "kept")
	p.store.setFaults(0, 0)
	is.Equal(get(p, "/v1/keys/bundle/manifest").Body.String(), "new")
}

func TestHangDelaysAnswersUntilCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform()
		watching := startRead(p, "/v1/keys/k?after=0&wait=1s")
		p.hang.setClosed(true)
		reading := startRead(p, "/v1/list")
		p.PutKey("k", []byte("v"))
		time.Sleep(time.Hour)
		is.Equal(len(watching)+len(reading), 0)
		p.hang.setClosed(false)
		is.Equal((<-watching).Body.String(), "v")
		is.Equal((<-reading).Code, http.StatusOK)
	})
}

func TestControlRefusesMalformedRequests(t *testing.T) {
	p := newPlatform()
	cases := []struct {
		name, path, body string
		code             int
	}{
		{"unknown fault", "/faults", `{"donw":true}`, 400},
		{"lag that is no duration", "/faults", `{"list_lag":20}`, 400},
		{"two values", "/list", `{}{}`, 400},
		{"unknown state", "/list", `{"leaves":[{"id":"a","state":"gone"}]}`, 400},
		{"state left out is live", "/list", `{"leaves":[{"id":"a"}]}`, 200},
		{"key of a megabyte", "/keys/k", strings.Repeat("x", 1<<20), 200},
		{"key over a megabyte", "/keys/k", strings.Repeat("x", 1<<20+1), 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(send(p.controlHandler(), http.MethodPut, c.path, c.body).Code, c.code)
		})
	}
	is.New(t).Equal(get(p, "/v1/keys/k").Body.Len(), 1<<20)
}

func TestDownAndCutEndConnections(t *testing.T) {
	is := is.New(t)
	p, err := New(Options{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	read := func() error {
		res, err := http.Get("http://" + p.Addr() + "/v1/keys/k?after=0&wait=1m")
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		return err
	}
	for _, f := range []Faults{{Down: true}, {CutSources: []string{"127.0.0.1"}}} {
		watching := make(chan error)
		go func() { watching <- read() }()
		for p.Reads().WaitingNow == 0 {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(p.SetFaults(f))
		is.True(<-watching != nil) // a waiting watch is cut off
		is.True(read() != nil)
		for p.Reads().WaitingNow > 0 {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(p.SetFaults(Faults{ListLag: settings.Duration(time.Second)}))
	}
	p.PutKey("k", nil)
	is.NoErr(read())
	cancel()
	is.NoErr(<-done)
}
