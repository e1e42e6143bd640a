package scenarios

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

// quietPeriod is how long after the bound other leaves of the shard must still get work, so that the
// absence of work at the leaving leaf proves that it gets none.
const quietPeriod = 3 * time.Second

// verbLeaving is: leaving LEAF within=D [zone=D]. From the first evidence of its departure, by the
// leaf's own clock, no new work reaches the leaf later than within from the whole fleet, nor later than
// zone from the VMs of the availability zone that had evidence first. Searches that it refuses count as
// new work; status polls do not. It waits until other leaves have had traffic for long enough.
func verbLeaving(f *fleet, a *arguments) error {
	within, inZone := a.duration("within", 0), a.duration("zone", 0)
	if err := a.validate(1, 1); err != nil {
		return err
	}
	n, err := f.leaf(a.words[0])
	if err != nil {
		return err
	}
	first, zone, err := f.firstEvidence(n)
	if err != nil {
		return err
	}
	end := first.Add(within + quietPeriod)
	if err := await("traffic on other leaves", awaitTimeout, func() error { return f.otherLeafGotWork(n, end) }); err != nil {
		return err
	}
	arrivals, err := f.arrivals(n)
	if err != nil {
		return err
	}
	if err := f.checkWorkBefore(arrivals, first); err != nil {
		return err
	}
	last := f.lastWork(arrivals, first)
	f.logf("%s: evidence first in %s; last new work after it by availability zone: %v", n.name, zone, last)
	for z, elapsed := range last {
		if elapsed > within || z == zone && inZone > 0 && elapsed > inZone {
			return fmt.Errorf("%s got new work from zone %s %s after the first evidence, which was in zone %s", n.name, z, elapsed, zone)
		}
	}
	return nil
}

// firstEvidence returns when the leaf's departure could first be known, from the leaf itself or from the
// platform's list, and to the VMs of which zone; the zone is empty for all.
func (f *fleet) firstEvidence(n *node) (first time.Time, zone string, err error) {
	if at, ok := f.listedLeavingSince[n.name]; ok {
		return at, "", nil
	}
	err = await("evidence of "+n.name, awaitTimeout, func() error {
		lines, err := f.leafLines(n)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(lines, func(l leaf.FileLine) bool { return l.Notice != nil })
		if i < 0 {
			return fmt.Errorf("the leaf has notified no VM")
		}
		first, zone = lines[i].Notice.At, f.zoneOf(lines[i].Notice.To)
		return nil
	})
	return first, zone, err
}

// otherLeafGotWork returns an error until another leaf of the shard has got work after the time.
func (f *fleet) otherLeafGotWork(leaving *node, after time.Time) error {
	for _, n := range f.leaves {
		if n == leaving || n.shard != leaving.shard {
			continue
		}
		arrivals, err := f.arrivals(n)
		if err != nil {
			return err
		}
		if len(arrivals) > 0 && arrivals[len(arrivals)-1].At.After(after) {
			return nil
		}
	}
	return fmt.Errorf("no work on other leaves of the shard after %s", after)
}

// checkWorkBefore returns an error unless each VM gave the leaf work before the evidence. Without that,
// the absence of work after it proves nothing.
func (f *fleet) checkWorkBefore(arrivals []leaf.Arrival, first time.Time) error {
	for _, vm := range f.vms {
		if !slices.ContainsFunc(arrivals, func(a leaf.Arrival) bool { return a.From == vm.bind && a.At.Before(first) }) {
			return fmt.Errorf("%s gave the leaf no work before the evidence", vm.name)
		}
	}
	return nil
}

// verbBusy is: busy LEAF. It waits until each VM has given the leaf work.
func verbBusy(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	n, err := f.leaf(a.words[0])
	if err != nil {
		return err
	}
	return await("work on "+n.name, awaitTimeout, func() error {
		arrivals, err := f.arrivals(n)
		if err != nil {
			return err
		}
		return f.checkWorkBefore(arrivals, time.Now())
	})
}

// lastWork returns, by zone, how long after the evidence its VMs last gave the leaf work. It omits zones
// that gave none.
func (f *fleet) lastWork(arrivals []leaf.Arrival, first time.Time) map[string]time.Duration {
	last := make(map[string]time.Duration)
	for _, a := range arrivals {
		if elapsed := a.At.Sub(first); elapsed > 0 {
			z := f.zoneOf(a.From)
			last[z] = max(last[z], elapsed.Round(time.Millisecond))
		}
	}
	return last
}

// zoneOf returns the zone of the VM with the IP, empty if there is none.
func (f *fleet) zoneOf(ip string) string {
	for _, vm := range f.vms {
		if vm.bind == ip {
			return vm.zone
		}
	}
	return ""
}

func (f *fleet) arrivals(n *node) ([]leaf.Arrival, error) {
	lines, err := f.leafLines(n)
	var all []leaf.Arrival
	for _, l := range lines {
		if l.Arrival != nil {
			all = append(all, *l.Arrival)
		}
	}
	return all, err
}

// leafLines reads the journal of one leaf.
func (f *fleet) leafLines(n *node) ([]leaf.FileLine, error) {
	data, err := os.ReadFile(f.leafLogFile(n))
	if err != nil {
		return nil, err
	}
	var all []leaf.FileLine
	for text := range bytes.Lines(data) {
		if !bytes.HasSuffix(text, []byte("\n")) {
			break // incomplete line: the leaf is still writing it
		}
		var line leaf.FileLine
		if err := json.Unmarshal(text, &line); err != nil {
			return nil, fmt.Errorf("journal of %s: %w", n.name, err)
		}
		all = append(all, line)
	}
	return all, nil
}

// verbReturns is: returns LEAF. It ends the leaf's faults, which starts a new incarnation, and waits
// until the leaf has started new searches.
func verbReturns(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	n, err := f.leaf(a.words[0])
	if err != nil {
		return err
	}
	if err := put(leafURL(n, "/faults"), []byte("{}")); err != nil {
		return err
	}
	back := time.Now()
	return await("work on "+n.name, awaitTimeout, func() error {
		lines, err := f.leafLines(n)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(lines, func(l leaf.FileLine) bool { return l.Search != nil && l.Search.At.After(back) }) {
			return fmt.Errorf("no search since its faults ended")
		}
		return nil
	})
}

// verbDrainTo is: drain_to LEAF VM. The leaf reports that it drains to that VM only and
// continues to serve the others.
func verbDrainTo(f *fleet, a *arguments) error {
	if err := a.validate(2, 2); err != nil {
		return err
	}
	n, err := f.leaf(a.words[0])
	if err != nil {
		return err
	}
	vm, err := f.vm(a.words[1])
	if err != nil {
		return err
	}
	return putJSON(leafURL(n, "/faults"), leaf.Faults{DrainTo: []string{vm.bind}})
}

// workSinceWake returns the number of requests that reached each leaf from the VM of a process since the
// process was last woken, and those of its searches that leaves started.
func (f *fleet) workSinceWake(process string) (arrivals map[string]int, searches []leaf.Search, err error) {
	_, name, _ := strings.Cut(process, "/")
	vm, err := f.vm(name)
	if err != nil {
		return nil, nil, err
	}
	woken := f.daemon(process).ResumedAt()
	if woken.IsZero() {
		return nil, nil, fmt.Errorf("%s has not been woken", process)
	}
	arrivals, ids := make(map[string]int), make(map[string]bool)
	for _, n := range f.leaves {
		lines, err := f.leafLines(n)
		if err != nil {
			return nil, nil, err
		}
		for _, l := range lines {
			if a := l.Arrival; a != nil && a.From == vm.bind && a.At.After(woken) {
				arrivals[n.name]++
				ids[a.RequestID] = true
			}
			if s := l.Search; s != nil && ids[s.RequestID] && s.At.After(woken) {
				searches = append(searches, *s)
			}
		}
	}
	return arrivals, searches, nil
}

// verbWorked is: worked PROCESS. It waits until leaves have started searches of the process's VM since
// the process woke.
func verbWorked(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	return await("work of "+a.words[0], awaitTimeout, func() error {
		_, searches, err := f.workSinceWake(a.words[0])
		if err == nil && len(searches) == 0 {
			err = errors.New("no search started since the process woke")
		}
		return err
	})
}

// verbNoWork is: no_work PROCESS leaf=LEAF snapshot=N. Since the process woke, no request from its VM
// has reached the leaf, and no leaf has started a search of the index version for it.
func verbNoWork(f *fleet, a *arguments) error {
	at, snapshot := a.text("leaf", ""), a.number("snapshot", 0)
	if err := a.validate(1, 1); err != nil {
		return err
	}
	if _, err := f.leaf(at); err != nil {
		return err
	}
	arrivals, searches, err := f.workSinceWake(a.words[0])
	if err != nil {
		return err
	}
	old := 0
	for _, s := range searches {
		if s.Snapshot == uint64(snapshot) {
			old++
		}
	}
	f.logf("since %s woke: %d searches started, %d of snapshot %d; arrivals %v", a.words[0], len(searches), old, snapshot, arrivals)
	if old > 0 || arrivals[at] > 0 {
		return fmt.Errorf("since %s woke %d searches of snapshot %d were started, and %d calls reached %s; want none",
			a.words[0], old, snapshot, arrivals[at], at)
	}
	return nil
}
