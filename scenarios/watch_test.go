package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// watchInterval is the wait between two checks of a VM.
const watchInterval = 50 * time.Millisecond

// watcher checks the bundle version of every process, and of answers through every entry, until the
// scenario ends, and records each version that decreased. Observations outlive a restart of the process:
// once ready, a restarted process must not show a lower version than any process or answer had shown
// before the watcher noticed the restart.
type watcher struct {
	fleet   *fleet
	stop    chan struct{}
	running sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu. highest is the highest version seen anywhere. observed is by
	// process name, for answers by VM. dumps and answers count the checks.
	highest  uint64
	observed map[string]*observation
	problems []error
	dumps    int
	answers  int
}

// observation is what one process, or the answers through one VM, have shown so far.
type observation struct {
	// start is the number of starts of the process, highest the highest version since this start. floor
	// is the highest version seen anywhere before it.
	start          int
	highest, floor uint64
	// digest is the bundle digest of the highest version, in hex.
	digest string
}

// verbWatch is: watch bundles. It checks in the background until the end of the scenario, which fails
// if a version has decreased.
func verbWatch(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	if a.words[0] != "bundles" || f.watcher != nil {
		return errors.New("want: watch bundles, once")
	}
	w := &watcher{fleet: f, stop: make(chan struct{}), observed: make(map[string]*observation)}
	f.watcher = w
	for _, n := range f.vms {
		w.running.Go(func() { w.loop(func() { w.checkDump(n) }) })
		w.running.Go(func() { w.loop(func() { w.checkSearch(n) }) })
	}
	return nil
}

func (w *watcher) loop(step func()) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(watchInterval):
			step()
		}
	}
}

// finish ends the watch and returns the versions that decreased. It is an error if the watch has seen no
// dump or no answer.
func (w *watcher) finish() error {
	close(w.stop)
	w.running.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dumps == 0 || w.answers == 0 {
		return fmt.Errorf("the watch of bundles saw %d dumps and %d answers", w.dumps, w.answers)
	}
	return errors.Join(w.problems...)
}

// checkDump reads the dumps of a VM's processes. It skips processes that are down or frozen.
func (w *watcher) checkDump(n *node) {
	for _, role := range roles {
		name := role + "/" + n.name
		d := w.fleet.daemon(name)
		start := d.Starts()
		if d.Frozen() || !d.Running() {
			continue
		}
		ready := w.fleet.processReady(name) == nil
		dump, err := w.fleet.bundleDump(name)
		if err != nil || d.Starts() != start {
			continue
		}
		w.recordDump(name, start, ready, dump)
	}
}

// recordDump compares a process's dump with earlier observations.
func (w *watcher) recordDump(name string, start int, ready bool, dump *bundle.StoreDump) {
	version := dump.Version
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dumps++
	s := w.observed[name]
	if s == nil {
		s = &observation{start: start}
		w.observed[name] = s
	}
	if s.start != start {
		*s = observation{start: start, floor: w.highest}
	}
	if version < s.highest {
		w.problems = append(w.problems, fmt.Errorf("%s shows bundle version %d after %d", name, version, s.highest))
	}
	if version == s.highest && dump.Digest < s.digest {
		w.problems = append(w.problems, fmt.Errorf("%s shows bundle %s of version %d after %s", name, dump.Digest, version, s.digest))
	}
	s.digest = dump.Digest
	if ready && version < s.floor {
		w.problems = append(w.problems, fmt.Errorf("%s is ready after its start %d with bundle version %d; %d was seen before", name, start, version, s.floor))
		s.floor = 0 // report once
	}
	s.highest, w.highest = max(s.highest, version), max(w.highest, version)
}

// checkSearch searches through a VM's entry and compares the answer's version with those of earlier
// answers.
func (w *watcher) checkSearch(n *node) {
	if d := w.fleet.daemon("entry/" + n.name); d.Frozen() || !d.Running() {
		return
	}
	rep := (&request{
		entry: n, token: callerToken, timeout: 2 * time.Second,
		search: &pb.SearchRequest{Service: serviceName, Kind: "dawn", Query: "watched through " + n.name},
	}).send()
	w.fleet.requests.record(rep)
	version := rep.search.GetBundleVersion()
	if version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers++
	name := "answers through " + n.name
	s := w.observed[name]
	if s == nil {
		s = &observation{}
		w.observed[name] = s
	}
	if version < s.highest {
		w.problems = append(w.problems, fmt.Errorf("%s have bundle version %d after %d", name, version, s.highest))
	}
	s.highest, w.highest = max(s.highest, version), max(w.highest, version)
}

// daemon returns the process with the full name. It panics if there is none.
func (f *fleet) daemon(name string) *daemon {
	for _, d := range f.daemons {
		if d.Name() == name {
			return d
		}
	}
	panic("no process " + name)
}

// bundleDump returns the bundle part of a process's dump.
func (f *fleet) bundleDump(process string) (*bundle.StoreDump, error) {
	url, err := f.operatorURL(process, "/dump")
	if err != nil {
		return nil, err
	}
	text, err := get(url)
	if err != nil {
		return nil, err
	}
	all := make(map[string]json.RawMessage)
	if err := json.Unmarshal([]byte(text), &all); err != nil {
		return nil, err
	}
	d := &bundle.StoreDump{}
	return d, json.Unmarshal(all[bundle.DumpDuty], d)
}

// verbBundles is one of
//
//	bundles in_force N within=D PROCESS...   version N is in force, by the processes' own time since
//	                                         at most D after its publication
//	bundles agree N PROCESS...               all have the same bundle of version N
//	bundles differ N PROCESS...              not all have the same bundle of version N
//	bundles settle N PROCESS...              waits until all have the same bundle of version N
//	bundles refused REASON PROCESS...        waits until dump and metric name REASON for the refusal of
//	                                         the bundle published last
func verbBundles(f *fleet, a *arguments) error {
	within := a.duration("within", 0)
	if err := a.validate(3, anyNumber); err != nil {
		return err
	}
	found, err := f.findAllProcesses(a.words[2:])
	if err != nil {
		return err
	}
	daemons, what, arg := vmProcesses(found), a.words[0], a.words[1]
	if what == "refused" {
		return await("refused", awaitTimeout, func() error { return f.eachDump(daemons, f.refusedFor(bundle.RefusalReason(arg))) })
	}
	version, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return err
	}
	switch what {
	case "in_force":
		return f.eachDump(daemons, f.inForce(version, within))
	case "agree":
		return f.eachDump(daemons, agreement(version))
	case "differ":
		if f.eachDump(daemons, agreement(version)) == nil {
			return fmt.Errorf("all have the same bundle of version %d", version)
		}
		return nil
	case "settle":
		return await("settle", awaitTimeout, func() error { return f.eachDump(daemons, agreement(version)) })
	}
	return fmt.Errorf("unknown check of bundles %q", what)
}

// dumpCheck checks the bundle dump of one process.
type dumpCheck func(name string, d *bundle.StoreDump) error

func (f *fleet) eachDump(daemons []*daemon, check dumpCheck) error {
	for _, d := range daemons {
		dump, err := f.bundleDump(d.Name())
		if err == nil {
			err = check(d.Name(), dump)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) inForce(version uint64, within time.Duration) dumpCheck {
	return func(name string, d *bundle.StoreDump) error {
		if d.Version != version || d.Since == nil {
			return fmt.Errorf("%s has bundle version %d, want %d", name, d.Version, version)
		}
		if elapsed := d.Since.Sub(f.publishedAt[version]); elapsed > within {
			return fmt.Errorf("%s put version %d in force %s after its publication, want %s", name, version, elapsed, within)
		}
		return nil
	}
}

func agreement(version uint64) dumpCheck {
	digest := ""
	return func(name string, d *bundle.StoreDump) error {
		if digest == "" {
			digest = d.Digest
		}
		if d.Version != version || d.Digest != digest {
			return fmt.Errorf("%s has version %d, digest %s, want %d, %s", name, d.Version, d.Digest, version, digest)
		}
		return nil
	}
}

func (f *fleet) refusedFor(reason bundle.RefusalReason) dumpCheck {
	return func(name string, d *bundle.StoreDump) error {
		if _, err := f.metric(name, "burdock_bundle_refused_total", fmt.Sprintf("reason=%q", reason)); err != nil {
			return err
		}
		for _, r := range d.Refusals {
			if r.Reason == reason && r.Digest == f.offeredDigest.String() && r.Message != "" {
				return nil
			}
		}
		return fmt.Errorf("the dump of %s names no refusal %s of bundle %s: %+v", name, reason, f.offeredDigest, d.Refusals)
	}
}
