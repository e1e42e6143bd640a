package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simLeaf is a leaf with slots and a queue. slowness is how many times as long as usual work takes now, 0 for a pause.
type simLeaf struct {
	candidate        Candidate
	running, waiting []*simCall
	slowness         func(at time.Duration, running int) float64
}

type simCall struct {
	call      *Call
	leaf      int
	sent      time.Duration
	remaining float64 // milliseconds of work at usual speed
	took      time.Duration
	result    Result
}

// sim runs calls to leaves in virtual time, in steps of a millisecond.
type sim struct {
	table  *Table
	start  time.Time
	at     time.Duration
	random *rand.Rand
	leaves []*simLeaf
	// rate is the calls per second, size how much longer than usual their work takes, and shards the number of
	// calls of a search (each to one of as many groups of leaves).
	rate, size func(at time.Duration) float64
	shards     int
	// paused reports whether the VM itself does not run.
	paused func(at time.Duration) bool
	// lostAt is when leaf 1 is lost; 0 if never.
	lostAt time.Duration
	// filled counts the calls that took the last slot of leaf 1 while another leaf had a free one.
	filled int
	ended  []*simCall // not yet seen by the VM
	done   []*simCall
}

func (l *simLeaf) inUse() int { return len(l.running) + len(l.waiting) }

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

func newSim(seed uint64, leaves int, callsPerLeaf float64) *sim {
	s := &sim{
		table: New(), start: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), rate: constant(callsPerLeaf * float64(leaves)),
		size: constant(1), shards: 1, paused: func(time.Duration) bool { return false },
	}
	for i := range leaves {
		s.leaves = append(s.leaves, &simLeaf{
			candidate: Candidate{ID: leafID(fmt.Sprint(i)), Slots: 4, SameZone: true, Connected: true},
			slowness:  func(time.Duration, int) float64 { return 1 },
		})
	}
	return s
}

func (s *sim) now() time.Time { return s.start.Add(s.at) }

func (s *sim) disturbed(leaf int) bool {
	l := s.table.leaves[s.leaves[leaf].candidate.ID]
	return l != nil && s.table.disturbed(l, s.now())
}

// run runs the simulation until the given time and calls each after every millisecond.
func (s *sim) run(until time.Duration, each func()) {
	for ; s.at < until; s.at += time.Millisecond {
		for _, l := range s.leaves {
			s.work(l)
		}
		if s.paused(s.at) {
			continue
		}
		for _, c := range s.ended {
			s.end(c)
		}
		s.ended = nil
		if s.lostAt > 0 && s.at >= s.lostAt {
			s.lose(s.leaves[1])
		}
		if s.random.Float64() < s.rate(s.at)/1000/float64(s.shards) {
			s.send()
		}
		if each != nil {
			each()
		}
	}
}

// lose ends all calls at the leaf as a refused connection does.
func (s *sim) lose(l *simLeaf) {
	for _, c := range append(l.running, l.waiting...) {
		c.result = ConnectRefused
		s.ended = append(s.ended, c)
	}
	l.running, l.waiting = nil, nil
}

func (s *sim) work(l *simLeaf) {
	for len(l.running) < l.candidate.Slots && len(l.waiting) > 0 {
		l.running, l.waiting = append(l.running, l.waiting[0]), l.waiting[1:]
	}
	slowness := l.slowness(s.at, len(l.running))
	if slowness == 0 {
		return
	}
	kept := l.running[:0]
	for _, c := range l.running {
		if c.remaining -= 1 / slowness; c.remaining > 0 {
			kept = append(kept, c)
			continue
		}
		s.ended = append(s.ended, c)
	}
	l.running = kept
}

func (s *sim) end(c *simCall) {
	l := s.leaves[c.leaf]
	if c.result == OK {
		s.table.Report(l.candidate.ID, Load{Running: len(l.running), Waiting: len(l.waiting), Slots: l.candidate.Slots}, s.now())
	}
	c.call.End(c.result, s.now())
	c.took = s.at - c.sent
	s.done = append(s.done, c)
}

// send sends one request: a call to one of the leaves of each shard.
func (s *sim) send() {
	size := s.size(s.at)
	for shard := range s.shards {
		var candidates []Candidate
		var index []int
		for _, i := range s.random.Perm(len(s.leaves)) {
			if i%s.shards == shard {
				candidates, index = append(candidates, s.leaves[i].candidate), append(index, i)
			}
		}
		chosen, call := s.table.Choose(s.now(), "r", typical, candidates)
		work := float64(typical.Milliseconds()) * size * (0.8 + 0.4*s.random.Float64())
		l := s.leaves[index[chosen]]
		if index[chosen] == 1 && l.inUse() == 3 && (s.leaves[0].inUse() < 4 || s.leaves[2].inUse() < 4) {
			s.filled++
		}
		l.waiting = append(l.waiting, &simCall{call: call, leaf: index[chosen], sent: s.at, remaining: work})
	}
}

// sentTo returns when the calls to the leaf were sent that were in flight in the interval.
func (s *sim) sentTo(leaf int, from, to time.Duration) (sent []time.Duration) {
	for _, c := range s.done {
		if c.leaf == leaf && c.sent < to && c.sent+c.took > from {
			sent = append(sent, max(c.sent, from))
		}
	}
	slices.Sort(sent)
	return sent
}

// share returns the share of the calls sent in the interval that went to the leaf.
func (s *sim) share(leaf int, from, to time.Duration) float64 {
	n, all := 0, 0
	for _, c := range s.done {
		if c.sent >= from && c.sent < to {
			all++
			if c.leaf == leaf {
				n++
			}
		}
	}
	return float64(n) / float64(max(all, 1))
}

// times returns the mean and the 99th percentile of the times of the calls sent in the interval, in milliseconds.
func (s *sim) times(from, to time.Duration) (mean, late float64) {
	var all []float64
	for _, c := range s.done {
		if c.sent >= from && c.sent < to {
			all = append(all, float64(c.took.Milliseconds()))
			mean += all[len(all)-1]
		}
	}
	slices.Sort(all)
	return mean / float64(len(all)), all[len(all)*99/100]
}

// disturbance runs the simulation and returns when a disturbance of the leaf is found, 0 if never, and when the leaf
// counts as back.
func (s *sim) disturbance(leaf int, from, to time.Duration) (foundAt, backAt time.Duration) {
	s.run(to+1400*time.Millisecond, func() {
		switch {
		case foundAt == 0 && s.at >= from && s.at < to && s.disturbed(leaf):
			foundAt = s.at
		case foundAt > 0 && backAt == 0 && s.at >= to && !s.disturbed(leaf):
			backAt = s.at
		}
	})
	return foundAt, backAt
}

// during returns a slowness of the given factor in the interval.
func during(from, to time.Duration, factor float64) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// Guards against a leaf that is disturbed by a neighbour being found late and avoided for seconds afterwards. At 10
// calls a second to each of 3 leaves, the probes that find its end soon enough are more than 1 in 20 calls.
func TestDisturbedLeafIsFoundAndUsedAgain(t *testing.T) {
	const from, to, runs = 3 * time.Second, 3600 * time.Millisecond, 40
	for _, tt := range []struct {
		leaves            int
		rate, shareAtMost float64
	}{{3, 60, 1. / 20}, {20, 10, 1. / 20}, {8, 60, 1. / 20}, {3, 10, 1. / 5}} {
		t.Run(fmt.Sprintf("%d leaves, %g calls a second each, 3 times as slow for 0.6 s", tt.leaves, tt.rate), func(t *testing.T) {
			is := is.New(t)
			var found, back []time.Duration
			var share, before, after float64
			for seed := range uint64(runs) {
				s := newSim(seed, tt.leaves, tt.rate)
				s.leaves[1].slowness = during(from, to, 3)
				foundAt, backAt := s.disturbance(1, from, to)
				if sent := s.sentTo(1, from, to); foundAt > 0 {
					found, back = append(found, foundAt-sent[0]), append(back, backAt-to)
					share += s.share(1, foundAt, to)
				} else if len(sent) > 3 {
					found = append(found, to-from)
				}
				before += s.share(1, from-time.Second, from) / runs
				after += s.share(1, to+300*time.Millisecond, to+1300*time.Millisecond) / runs
			}
			share /= float64(len(back))
			slices.Sort(found)
			slices.Sort(back)
			t.Logf("%d runs: found after %v, used again after at most %v", len(found), found[len(found)*9/10:], back[len(back)-1])
			t.Logf("share while disturbed %.3f, before %.3f, after %.3f", share, before, after)
			is.True(found[len(found)*9/10] < 300*time.Millisecond)
			is.True(back[len(back)-1] < 300*time.Millisecond)
			is.True(share <= tt.shareAtMost)
			is.True(after > 0.7*before)
		})
	}
}

// loads are the loads of TestLoadsThatAreNoDisturbance, at 3 leaves and 60 calls a second for each. disturbed is the
// highest fraction of the time for which leaves may count as disturbed.
var loads = map[string]struct {
	disturbed float64
	prepare   func(s *sim)
}{
	"one leaf 1.6 times as slow by design": {0.01, func(s *sim) { s.leaves[1].slowness = during(0, time.Hour, 1.6) }},
	"the VM itself pauses for 150 ms each second": {0.02, func(s *sim) {
		s.paused = func(at time.Duration) bool { return at%time.Second < 150*time.Millisecond }
	}},
	"all leaves 3 times as slow for 0.6 s": {0.02, func(s *sim) {
		for _, l := range s.leaves {
			l.slowness = during(3*time.Second, 3600*time.Millisecond, 3)
		}
	}},
	"each leaf pauses for 100 ms each 2.4 s": {0.1, func(s *sim) {
		for i, l := range s.leaves {
			l.slowness = pauses(time.Duration(i) * 700 * time.Millisecond)
		}
	}},
	"waves of 1.2 times what the leaves can do": {0.01, func(s *sim) {
		s.rate = func(at time.Duration) float64 { return []float64{180, 720}[int(at/(500*time.Millisecond))%2] }
	}},
	"searches of 12 shards, 1 in 10 of them 4 times as large": {0.01, func(s *sim) {
		s.shards, s.leaves, s.rate = 12, newSim(1, 36, 1).leaves, constant(36*15)
		s.size = func(at time.Duration) float64 { return []float64{1, 4}[(at/time.Millisecond%10)/9] }
	}},
	"a disturbed leaf is lost": {1, func(s *sim) {
		s.leaves[1].slowness, s.lostAt = during(3*time.Second, 3300*time.Millisecond, 3), 3300*time.Millisecond
	}},
}

func pauses(offset time.Duration) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if (at+offset)%(2400*time.Millisecond) < 100*time.Millisecond {
			return 0
		}
		return 1
	}
}

// Guards against the detection of disturbances making anything worse where no leaf is disturbed alone.
func TestLoadsThatAreNoDisturbance(t *testing.T) {
	const runs, length = 4, 8 * time.Second
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mean, late [2]float64
			disturbed, leaves := 0, 0
			for seed := range uint64(runs) {
				for i, off := range []bool{true, false} {
					s := newSim(seed, 3, 60)
					load.prepare(s)
					s.table.recent.ignoreNoise = off
					s.run(length, func() {
						for l := range s.leaves {
							if s.disturbed(l) {
								disturbed++
							}
						}
					})
					leaves = len(s.leaves)
					m, l := s.times(time.Second, length-time.Second)
					mean[i], late[i] = mean[i]+m/runs, late[i]+l/runs
				}
			}
			share := float64(disturbed) / float64(runs*leaves*int(length/time.Millisecond))
			t.Logf("mean %.1f ms, as before %.1f; 99th percentile %.1f ms, as before %.1f; disturbed %.4f of the time", mean[1], mean[0], late[1], late[0],
				share)
			is.True(mean[1] < 1.02*mean[0])
			is.True(late[1] < 1.05*late[0])
			is.True(share < load.disturbed)
		})
	}
}

// Guards against a leaf that is slow for good being avoided like a disturbed one: 3 leaves of which one becomes 2.7 times
// as slow, at 0.93 of what they can do together, which is more than the other two can do.
func TestLeafSlowForGoodGetsWorkByItsSpeed(t *testing.T) {
	is := is.New(t)
	const runs, slow, rate = 6, 2.7, 440.
	const others, all = 400, 474 // calls a second that the leaves can do
	var share, mean [2]float64
	for seed := range uint64(runs) {
		for i, off := range []bool{true, false} {
			s := newSim(seed, 3, rate/3)
			s.leaves[1].slowness = during(3*time.Second, time.Hour, slow)
			s.table.recent.ignoreNoise = off
			s.run(12*time.Second, nil)
			m, _ := s.times(6*time.Second, 10*time.Second)
			share[i], mean[i] = share[i]+s.share(1, 6*time.Second, 10*time.Second)/runs, mean[i]+m/runs
		}
	}
	t.Logf("share of the calls from 3 s after the leaf became slow %.3f, as before %.3f; mean %.1f ms, as before %.1f", share[1], share[0], mean[1], mean[0])
	is.True(share[1] > (rate-others)/rate)
	is.True(share[1] > 0.7*(all-others)/all)
	is.True(mean[1] < 1.05*mean[0])
}

// Guards against filling a leaf that is faster than the others, but 4 times as slow with all 4 slots in use: 3 leaves
// at 0.7 of what they can do.
func TestLeafThatSlowsDownWhenNearlyFullIsNotFilled(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3, 420./3)
	s.leaves[1].slowness = func(_ time.Duration, running int) float64 {
		if running >= 4 {
			return 2.8
		}
		return 0.7
	}
	s.run(20*time.Second, nil)
	t.Logf("%d of %d calls took its last slot while another leaf had a free one", s.filled, len(s.done))
	is.True(s.filled < len(s.done)/20)
}
