package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// metric returns the value of a metric with its labels, as the text of a scrape has it, or an empty string
// where it is absent.
func (v *vm) metric(name string) string {
	resp, err := http.Get("http://" + v.metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return value
		}
	}
	return ""
}

// A smaller VM hands its searches over to the larger one of its zone, and its callers get the same answers as
// from that one. After an orderly stop of the larger VM the smaller one makes the searches itself, and no
// caller gets an error.
func TestSearchesGoToTheLargerVM(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	// A VM takes all processor time of the process for its own, in which the other VM, the leaves and the callers run, too.
	larger := c.startSized(8000)
	smaller := c.startSized(2000)
	const answered = `burdock_handed_over_total{end="answered"}`
	n := 0
	search := func() {
		n++
		status, header, body, err := smaller.get(http.MethodGet, "/s/1", fmt.Sprintf("r%d", n))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get("Missing-Parts"), "0")
		is.Equal(body, "s2              s1              ")
	}
	within(t, 5*time.Second, "both ready", func() bool { return larger.ready() && smaller.ready() })
	within(t, 5*time.Second, "searches go to the larger VM", func() bool {
		search()
		return smaller.metric(answered) != ""
	})
	status, _, body, err := smaller.get(http.MethodPost, "/x/1", "single")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "x               ")
	larger.stop()
	for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
		search()
	}
	before := smaller.metric(answered)
	search()
	is.Equal(smaller.metric(answered), before)
}
