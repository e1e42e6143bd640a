package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

func all(catalog.LeafID) bool { return true }

// Guards against older or impossible reports of other VMs in place of a leaf's newest one.
func TestReceivedReportReplacesOlderOne(t *testing.T) {
	own := Load{Running: 1, Slots: 3, WorkTimePercent: 300}
	for name, tt := range map[string]struct {
		load Load
		age  time.Duration
		want int
	}{
		"newer":         {Load{Running: 3, Slots: 3}, 50 * time.Millisecond, 3},
		"older":         {Load{Running: 3, Slots: 3}, 150 * time.Millisecond, 1},
		"of the future": {Load{Running: 3, Slots: 3}, -time.Millisecond, 1},
		"negative":      {Load{Running: -3, Slots: 3}, 50 * time.Millisecond, 1},
		"huge":          {Load{Running: 3, Waiting: 1 << 30, Slots: 3}, 50 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, now := New(), time.Now()
			table.Choose(now, "r", typical, group()[:1])
			table.Report(leafID("a"), own, now.Add(-100*time.Millisecond))
			table.ReportAt(leafID("a"), tt.load, now.Add(-tt.age), now)
			got := table.Loads(now, time.Second, all)
			is.Equal(len(got), 1)
			is.Equal(got[0].Load.Running, tt.want)
			is.Equal(got[0].Own, tt.want == own.Running)
			if tt.want != own.Running { // the work time that the leaf reported ages on: 100 + 200*exp(-50/150)
				is.Equal(got[0].Load.WorkTimePercent, 243)
			}
		})
	}
}

// Guards against a first call to a leaf whose queue another VM knows, and against leaves that are kept though this VM
// never calls them.
func TestReportOfUncalledLeaf(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Now()
	table.ReportAt(leafID("a"), Load{Running: 3, Waiting: 3, Slots: 3}, now, now)
	chosen, _ := table.Choose(now, "r", typical, group())
	is.True(group()[chosen].ID != leafID("a")) // although it is in the same zone
	is.Equal(table.InFlight(), 1)
	for i := range 200 {
		table.ReportAt(leafID(fmt.Sprint(i)), Load{Slots: 3}, now.Add(time.Duration(i-200)*time.Millisecond), now)
	}
	is.Equal(len(table.uncalled), maxUncalledLeaves)
	newest := table.Loads(now, 10*time.Millisecond, func(id catalog.LeafID) bool { return id.Name != "199" })
	is.Equal(newest[0].Leaf, leafID("a"))
	is.Equal(newest[1].Leaf, leafID("198"))
	is.Equal(len(newest), 10)
	is.Equal(table.Loads(now.Add(2*time.Second), time.Second, all), nil)
	table.ReportAt(leafID("late"), Load{Slots: 3}, now.Add(-MaxReportAge-1), now)
	table.Forget(now.Add(2 * time.Second))
	is.Equal(len(table.uncalled), 0)
}
