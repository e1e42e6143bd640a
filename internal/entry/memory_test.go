package entry

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests beyond the memory that callers may use were held like all others. They are refused with a typed outcome, not run, and served
// once there is memory again.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	other := w.manager.memory.Hold(func() {})
	is.True(other.Grow(w.manager.memory.Usage().Limit - requestBytes/2))
	is.True(other.Work())
	res := w.post(t, searchPath, goodSearch, nil)
	is.True(res.Header.Get("Retry-After") != "")
	e := readError(t, res)
	is.Equal(e.Details[0].Debug.Kind, "OUTCOME_KIND_NOT_RUN")
	is.Equal(e.Details[0].Debug.Reason, "REASON_OVERLOAD")
	is.Equal(int(w.gather.calls.Load()), 0)
	other.Release()
	is.Equal(w.post(t, searchPath, goodSearch, nil).StatusCode, http.StatusOK)
	is.Equal(w.manager.memory.Usage().Used, int64(0))
}

// The connection of a refused request whose body stops short was held for as long as its caller wished.
func TestRefusedBodyThatStopsEndsItsConnection(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	c := w.raw(t, strings.Replace(incompleteBody, testToken, "nobody's", 1))
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusUnauthorized)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}
