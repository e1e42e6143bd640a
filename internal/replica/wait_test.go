package replica

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const tick = time.Millisecond

func waitCandidate(name string, slots int) Candidate {
	return Candidate{ID: catalog.LeafID{Name: name}, Service: "s", Slots: slots, SameZone: true, Connected: true}
}

// waitTable returns a table in which calls of the route "long" to the candidate take 60 ms.
func waitTable(now time.Time, c Candidate) *Table {
	t := New()
	for i := range 40 {
		at := now.Add(time.Duration(i-60) * tick)
		_, call := t.Choose(at, "long", 60*tick, []Candidate{c})
		call.End(OK, at.Add(60*tick))
	}
	return t
}

// The wait behind calls of another route was taken for that behind calls as short as those of the asking route.
func TestWaitCountsCallsOfAllRoutes(t *testing.T) {
	is := is.New(t)
	now, c := time.Unix(1000, 0), waitCandidate("a", 4)
	table := waitTable(now, c)
	table.Report(c.ID, Load{Running: 4, Waiting: 7, Slots: 4}, now)
	is.Equal(table.Wait(now, 20*tick, []Candidate{c}).Expected.Round(10*tick), 120*tick) // 8 calls of 60 ms in 4 slots
	duration, _ := table.Expect(now, "short", 20*tick, []Candidate{c})
	is.Equal(duration.Round(10*tick), 140*tick)
}

// A call was sent to a leaf that was known to refuse it, while another leaf had room.
func TestFullLeafGetsNoCall(t *testing.T) {
	is := is.New(t)
	now, a, b := time.Unix(1000, 0), waitCandidate("a", 4), waitCandidate("b", 4)
	table := waitTable(now, a)
	b.Connected = false
	both := []Candidate{a, b}
	is.True(!table.Wait(now, tick, both).Full)
	table.Report(a.ID, Load{Running: 4, Waiting: 2, Slots: 4}, now)
	table.Refused(a.ID, Load{Running: 4, Waiting: 2, Slots: 4}, now)
	table.Report(b.ID, Load{Running: 4, Waiting: 5, Slots: 4}, now)
	is.True(table.Wait(now, tick, []Candidate{a}).Full)
	is.True(!table.Wait(now, tick, both).Full)
	chosen, _ := table.Choose(now, "long", tick, both)
	is.Equal(chosen, 1)
	table.Report(a.ID, Load{Running: 4, Waiting: 9, Slots: 4}, now) // it has accepted more
	table.Report(a.ID, Load{Running: 4, Waiting: 2, Slots: 4}, now)
	is.True(!table.Wait(now, tick, []Candidate{a}).Full)
}

// Loads and slots that are 0, negative or absurd must give a wait within bounds and must not make a leaf full for good.
func TestWaitWithInvalidLoads(t *testing.T) {
	numbers := []int{math.MinInt, -1, 0, 4, math.MaxInt}
	for _, slots := range numbers {
		for _, reported := range numbers {
			is := is.New(t)
			now, c := time.Unix(1000, 0), waitCandidate("a", slots)
			table := waitTable(now, c)
			load := Load{Running: reported, Waiting: reported, Slots: reported, WorkTimePercent: reported}
			table.Report(c.ID, load, now)
			table.Refused(c.ID, load, now)
			w := table.Wait(now, -time.Hour, []Candidate{c})
			is.True(w.Expected >= 0 && w.Expected <= maxWait)
			later := table.Wait(now.Add(5*time.Second), tick, []Candidate{c})
			is.True(!later.Full && later.Expected == 0)
		}
	}
}
