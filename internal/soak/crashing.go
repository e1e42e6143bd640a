package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// crashMark begins the last part of the path of a request that ends each leaf that runs it.
	crashMark = "crash-"
	// crashBound is the number of leaves that one such request may end before it is refused, and the number of times
	// that it may reach leaves later than settleTime after the last of them.
	crashBound = 3
	// crashEvidenceTime is how long after the third end all VMs may still send such a request: what its end looks like
	// from outside takes 0.3 s, and word of it 0.8 s.
	crashEvidenceTime = 1100 * time.Millisecond
	// maxCrashPause is the longest pause between two copies of a crashing request.
	maxCrashPause = 400 * time.Millisecond
)

// LeafEnd is the end of a leaf that a request caused.
type LeafEnd struct {
	Leaf, Target string
	Born         int64
	At           time.Time
}

// crashText is how the leaves end that run a crashing request, and what follows.
type crashText struct {
	end   hosted.End
	delay time.Duration
	// down is how long nothing listens at the address, keepEntry how long the store keeps the leaf's entry.
	down, keepEntry time.Duration
	// sameID starts the leaf again under its id; otherwise a new one starts.
	sameID bool
	// percent of the runs end their leaf.
	percent uint32
}

// drawCrashText draws the details of a crashing request.
func drawCrashText(rng *rand.Rand) crashText {
	text := crashText{
		end:   hosted.End{Reset: rng.IntN(2) == 0, HalfAnswer: rng.IntN(3) == 0},
		delay: time.Duration(rng.IntN(int(100 * time.Millisecond))),
		down:  time.Duration(rng.IntN(int(2 * time.Second))), keepEntry: time.Duration(rng.IntN(int(2 * entryTTL))),
		sameID: rng.IntN(4) == 0, percent: 100,
	}
	if rng.IntN(3) == 0 {
		text.percent = uint32(10 + rng.IntN(90))
	}
	return text
}

// ends reports whether the run of the request at the leaf ends it.
func (t *crashText) ends(leaf, request string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(leaf + " " + request))
	return h.Sum32()%100 < t.percent
}

// sendCrashing sends copies of one crashing request through VMs of all zones while the event lasts.
func (tb *testbed) sendCrashing(ctx context.Context, calls *callRecorder, e Event) {
	rng := rand.New(rand.NewPCG(e.Pick, 5))
	target := fmt.Sprintf("%s%s%x", []string{"/v/", "/v/", "/o/", "/o/", "/s/"}[rng.IntN(5)], crashMark, e.Pick)
	tb.mu.Lock()
	tb.crashTexts[target] = drawCrashText(rng) // the same again where the request had stopped
	tb.mu.Unlock()
	for end, n := time.Now().Add(e.For), 0; time.Now().Before(end); n++ {
		c := &caller{balancer: tb, rng: rng}
		if c.connect() {
			calls.add(c.callCrashing(target, fmt.Sprintf("x%08x%05x%04x", uint32(e.Pick), e.At.Milliseconds(), n)))
			c.closeConn()
		}
		if !wait.For(ctx, time.Duration(rng.IntN(int(maxCrashPause)))) {
			return
		}
	}
}

// callCrashing sends one copy of a crashing request.
func (c *caller) callCrashing(target, id string) Call {
	out := Call{ID: id, Target: target, Kind: Single, VM: c.vm, Start: c.start, Sent: time.Now()}
	method, body := http.MethodGet, ""
	switch {
	case strings.HasPrefix(target, "/o/"):
		out.Kind, method, body = Order, http.MethodPost, "one"
	case strings.HasPrefix(target, "/s/"):
		out.Kind = Search
	}
	c.send(&out, method, body)
	out.Ended = time.Now()
	return out
}

// crash returns how the leaf at the placement ends under the request; ok is false if the request is harmless.
func (tb *testbed) crash(p *placement, r *http.Request) (reply hosted.Reply, ok bool) {
	target := r.RequestURI
	if !strings.Contains(target, crashMark) {
		return hosted.Reply{}, false
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	text, ok := tb.crashTexts[target]
	if !ok || !text.ends(p.entry, hosted.RequestID(r)) {
		return hosted.Reply{}, false
	}
	end := text.end
	end.Ended = func() { go tb.followCrash(p, target, text) }
	return hosted.Reply{Delay: text.delay, End: &end, Body: []byte("half of an answer")}, true
}

// followCrash records the end of the placement's leaf and starts the next one, as the text says. One that starts under the
// same id is not cold, as in restartLeaves: until VMs read its entry they can't tell it from the one before.
func (tb *testbed) followCrash(p *placement, target string, text crashText) {
	leaf := p.takeLeaf()
	if leaf == nil {
		return // ended by another event at the same moment
	}
	tb.mu.Lock()
	tb.leafEnds = append(tb.leafEnds, LeafEnd{Leaf: leaf.ID, Born: leaf.Born, Target: target, At: time.Now()})
	tb.mu.Unlock()
	leaf.Close()
	entry := time.AfterFunc(text.keepEntry, func() { tb.store.RemoveLeaf(leaf) })
	time.Sleep(text.down)
	service := p.currentService()
	if !text.sameID {
		next, err := p.startLeaf(&tb.started, service)
		if err == nil {
			tb.setCold(next)
		}
		tb.announce(p, err)
		return
	}
	if !entry.Stop() { // its entry was removed, or is removed now
		time.Sleep(slack)
	}
	_, err := p.startLeafAs(&tb.started, service, leaf.ID)
	tb.announce(p, err)
}

// announce writes the entry of the leaf that was started at the placement unless that failed.
func (tb *testbed) announce(p *placement, err error) {
	if err != nil {
		tb.fail("start after a crash at %s: %v", p.entry, err)
		return
	}
	tb.writeEntry(p, "ready")
}

// checkCrashing reports requests that ended a leaf later than crashEvidenceTime after they had ended crashBound, and
// requests that reached leaves more than crashBound times later than settleTime after that. Both count only what
// undisturbed VMs sent.
func checkCrashing(h *History, x *index) []string {
	ends := make(map[string][]LeafEnd)
	for _, e := range h.LeafEnds {
		ends[e.Target] = append(ends[e.Target], e)
	}
	late := make(map[string]int)
	var out []string
	for i := range h.Runs {
		r := &h.Runs[i]
		c, ended := x.calls[r.ID], ends[r.Target]
		if c == nil || r.Misdirected || len(ended) < crashBound {
			continue
		}
		third := ended[crashBound-1].At
		if r.At.Before(third.Add(crashEvidenceTime+slack)) || !h.undisturbed(c.VM, ended[0].At, r.At) {
			continue
		}
		if r.At.After(third.Add(settleTime + slack)) {
			late[r.Target]++
		}
		if slices.ContainsFunc(ended, func(e LeafEnd) bool { return e.Leaf == r.Leaf && e.Born == r.Born }) {
			out = append(out, fmt.Sprintf("request %s of VM %d ended leaf %s %v after the third; %d ended in all", r.Target, c.VM, r.Leaf, r.At.Sub(third).Round(time.Millisecond), len(ended)))
		}
	}
	for target, n := range late {
		if n > crashBound {
			out = append(out, fmt.Sprintf("request %s, which had ended %d leaves, reached leaves %d times more", target, crashBound, n))
		}
	}
	slices.Sort(out)
	return out
}
