package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// fleetKey is the key of the scenario's fleetHolder in testscript's values.
type fleetKey struct{}

// fleetHolder holds the fleet of a script. It is empty until the verb fleet has run.
type fleetHolder struct{ fleet *fleet }

// setUp prepares a scenario. At its end, passed or failed, its fleet is stopped and its history checked.
func setUp(env *testscript.Env) error {
	h := &fleetHolder{}
	env.Values[fleetKey{}] = h
	env.Defer(func() {
		if h.fleet == nil {
			return
		}
		for _, cancel := range h.fleet.crowds {
			cancel()
		}
		err := h.fleet.stop()
		if err == nil {
			err = h.fleet.checkHistory(h.fleet.requests.history())
		}
		if err != nil {
			env.T().Fatal("at the end of the scenario: ", err)
		}
	})
	return nil
}

// verb is a script command that needs a fleet.
type verb func(f *fleet, a *arguments) error

const anyNumber = math.MaxInt

// verbs returns all verbs by name; README.md describes them. No verb may have the name of a command of
// testscript, which would run instead of it.
func verbs() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){"fleet": verbFleet}
	for name, v := range map[string]verb{
		"start": eachProcess((*daemon).Start), "crash": eachProcess((*daemon).Kill),
		"freeze": eachProcess((*daemon).Freeze), "wake": eachProcess((*daemon).Resume),
		"shutdown": verbShutdown, "terminate": eachProcess((*daemon).Terminate),
		"cut": verbCut, "heal": verbHeal, "silence": verbSilence, "sever": verbSever,
		"fault": verbFault, "snapshots": verbSnapshots, "list": verbList, "replace": verbReplace, "lag": verbLag,
		"publish": verbPublish, "stale": verbStale, "watch": verbWatch, "bundles": verbBundles,
		"leaving": verbLeaving, "returns": verbReturns, "busy": verbBusy, "worked": verbWorked, "no_work": verbNoWork, "drain_to": verbDrainTo,
		"search": verbSearch, "ticket": verbTicket, "send": verbSend, "order": verbOrder,
		"reply": verbReply, "log": verbLog, "await": verbAwait, "upset": verbUpset,
		"shards": verbShards, "post": verbPost, "pause": verbPause,
		"respawn": verbRespawn,
		"traffic": verbTraffic, "measured": verbMeasured,
		"crowd": verbCrowd, "disperse": verbDisperse, "memory": verbMemory,
	} {
		all[name] = withFleet(v)
	}
	all["expect"], all["until"] = verbExpect, verbUntil
	all["load"], all["settle"], all["abandoned"] = verbLoad, verbSettle, verbAbandoned
	return all
}

// withFleet turns a verb into a command that fails the script on an error. It logs the last reply if the
// verb has set a new one.
func withFleet(v verb) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		f := fleetOf(ts)
		if neg {
			ts.Fatalf("this verb cannot be negated")
		}
		before, _ := f.requests.getLast()
		err := v(f, parseArguments(args))
		if last, _ := f.requests.getLast(); last != before {
			ts.Logf("%s", last)
		}
		ts.Check(err)
	}
}

func fleetOf(ts *testscript.TestScript) *fleet {
	f := ts.Value(fleetKey{}).(*fleetHolder).fleet
	if f == nil {
		ts.Fatalf("the verb fleet has not run")
	}
	return f
}

func verbFleet(ts *testscript.TestScript, neg bool, args []string) {
	h := ts.Value(fleetKey{}).(*fleetHolder)
	if h.fleet != nil || neg {
		ts.Fatalf("a scenario has one fleet")
	}
	a, l := parseArguments(args), defaultLayout()
	l.Relay = a.flag("relay")
	l.VMs, l.Zones = a.number("vms", l.VMs), a.number("zones", l.Zones)
	l.Shards, l.Replicas = a.number("shards", l.Shards), a.number("replicas", l.Replicas)
	l.Slots, l.Connections = a.number("slots", l.Slots), a.number("connections", l.Connections)
	l.ServiceTime = a.duration("service_time", l.ServiceTime)
	l.ConnectDelay = a.duration("connect_delay", l.ConnectDelay)
	l.BalancerLag = a.duration("balancer_lag", l.BalancerLag)
	l.HitBytes, l.CrashMark = a.number("hit_bytes", l.HitBytes), a.text("crash_mark", l.CrashMark)
	l.Concurrency, l.Queue = a.number("concurrency", l.Concurrency), a.number("queue", l.Queue)
	ts.Check(a.validate(0, 0))
	f, err := newFleet(ts.MkAbs("."), l)
	ts.Check(err)
	h.fleet, f.logf = f, ts.Logf
	f.seed, err = f.newSeed()
	ts.Check(err)
	ts.Logf("seed %d (to run it again set %s)", f.seed, seedVariable)
	ts.Check(f.startAll())
}

// eachProcess returns a verb that runs the action on the processes that its words name.
func eachProcess(action func(*daemon) error) verb {
	return func(f *fleet, a *arguments) error {
		if err := a.validate(1, anyNumber); err != nil {
			return err
		}
		found, err := f.findAllProcesses(a.words)
		if err != nil {
			return err
		}
		for _, d := range found {
			if err := action(d); err != nil {
				return err
			}
		}
		return nil
	}
}

// verbShutdown terminates all named processes, then waits until each has exited with code 0.
func verbShutdown(f *fleet, a *arguments) error {
	if err := eachProcess((*daemon).Terminate)(f, a); err != nil {
		return err
	}
	return eachProcess((*daemon).WaitCleanExit)(f, a)
}

// resolvePair returns the nodes of the two sides of a cut, silence or sever. The fleet must have a relay.
func (f *fleet) resolvePair(a *arguments) (as, bs []string, err error) {
	if err := a.validate(2, 2); err != nil {
		return nil, nil, err
	}
	if f.relay == nil {
		return nil, nil, errors.New("the fleet has no relay; use: fleet relay")
	}
	as, errA := f.resolveNodeNames(a.words[0])
	bs, errB := f.resolveNodeNames(a.words[1])
	return as, bs, errors.Join(errA, errB)
}

func verbCut(f *fleet, a *arguments) error {
	as, bs, err := f.resolvePair(a)
	if err == nil {
		f.relay.setCut(as, bs, true)
	}
	return err
}

func verbHeal(f *fleet, a *arguments) error {
	as, bs, err := f.resolvePair(a)
	if err == nil {
		f.relay.setCut(as, bs, false)
	}
	return err
}

func verbSilence(f *fleet, a *arguments) error {
	as, bs, err := f.resolvePair(a)
	if err == nil && f.relay.silence(as, bs) == 0 {
		return fmt.Errorf("no open connection between %s and %s", a.words[0], a.words[1])
	}
	return err
}

// verbSever is: sever A B after=BYTES. Open connections break after that many more bytes of answers.
func verbSever(f *fleet, a *arguments) error {
	after := a.number("after", 1)
	as, bs, err := f.resolvePair(a)
	if err == nil {
		f.relay.sever(as, bs, after)
	}
	return err
}

// verbFault replaces the faults of the platform or of leaves.
func verbFault(f *fleet, a *arguments) error {
	if err := a.validate(2, 2); err != nil {
		return err
	}
	if !json.Valid([]byte(a.words[1])) {
		return fmt.Errorf("not JSON: %s", a.words[1])
	}
	if a.words[0] == platformName {
		return put(f.platformURL("/faults"), []byte(a.words[1]))
	}
	leaves, err := f.leavesNamed(a.words[0])
	if err != nil {
		return err
	}
	for _, n := range leaves {
		if err := put(leafURL(n, "/faults"), []byte(a.words[1])); err != nil {
			return err
		}
	}
	return nil
}

// leavesNamed returns the leaves that what stands for: a leaf, the group of a shard such as "shard-2", an
// availability zone, or "leaves" for all.
func (f *fleet) leavesNamed(what string) ([]*node, error) {
	var found []*node
	for _, n := range f.leaves {
		if what == n.name || what == n.zone || what == "leaves" || what == fmt.Sprintf("shard-%d", n.shard) {
			found = append(found, n)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no leaf %q", what)
	}
	return found, nil
}

func verbSnapshots(f *fleet, a *arguments) error {
	if err := a.validate(2, anyNumber); err != nil {
		return err
	}
	leaves, err := f.leavesNamed(a.words[0])
	if err != nil {
		return err
	}
	var versions []uint64
	for _, w := range a.words[1:] {
		v, err := strconv.ParseUint(w, 10, 64)
		if err != nil {
			return err
		}
		versions = append(versions, v)
	}
	for _, n := range leaves {
		if err := putJSON(leafURL(n, "/snapshots"), versions); err != nil {
			return err
		}
	}
	return nil
}

// verbAwait waits for a condition, within=D at most, or awaitTimeout if the scenario sets no time. The
// first word names the condition, followed by a metric or a number for some conditions, then processes.
func verbAwait(f *fleet, a *arguments) error {
	bound := a.duration("within", awaitTimeout)
	if err := a.validate(2, anyNumber); err != nil {
		return err
	}
	what, rest := a.words[0], a.words[1:]
	if what == "executed" {
		return await(fmt.Sprint(a.words), bound, func() error { return f.ordersExecuted(rest) })
	}
	var number float64
	metric := ""
	if what == "metric" && len(rest) > 2 {
		metric, rest = rest[0], rest[1:]
	}
	if what == "version" || what == "refused" || what == "metric" {
		n, err := strconv.ParseFloat(rest[0], 64)
		if err != nil {
			return err
		}
		number, rest = n, rest[1:]
	}
	daemons, err := f.findAllProcesses(rest)
	if err != nil {
		return err
	}
	conditions := map[string]func() error{
		"ready":   func() error { return f.allReady(daemons) },
		"ended":   func() error { return allEnded(daemons) },
		"running": func() error { return allRunning(daemons) },
		"version": func() error { return f.atBundleVersion(number, vmProcesses(daemons)) },
		"refused": func() error { return f.refusedAtLeast(number, vmProcesses(daemons)) },
		"metric":  func() error { return f.metricAtLeast(metric, number, vmProcesses(daemons)) },
	}
	if conditions[what] == nil {
		return fmt.Errorf("unknown condition %q", what)
	}
	return await(fmt.Sprint(a.words), bound, conditions[what])
}
