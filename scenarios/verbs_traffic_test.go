package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	openloop "github.com/burdockplank/burdockplank/internal/load"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// trafficEndTimeout is how long a run of load may take beyond its duration.
const trafficEndTimeout = time.Minute

// trafficRun is a run of burdock-load in the background.
type trafficRun struct {
	daemon   *daemon
	duration time.Duration
	result   string
}

// verbTraffic is: traffic NAME [rate=100] [duration=5s] [orders=0.1] [resend=none|at_once|retry_after]
// [lag=0s]. It starts an open loop of dawn searches, with the given share of orders, to the entries that
// were ready a lag ago.
func verbTraffic(f *fleet, a *arguments) error {
	rate, orders := a.text("rate", "100"), a.text("orders", "0.1")
	resend, lag := a.text("resend", string(openloop.ResendNone)), a.duration("lag", 0)
	duration := a.duration("duration", 5*time.Second)
	if err := a.validate(1, 1); err != nil {
		return err
	}
	name := a.words[0]
	if f.traffic[name] != nil {
		return fmt.Errorf("traffic %s already exists", name)
	}
	text, err := f.trafficSettings(rate, orders, resend, duration, lag)
	if err != nil {
		return err
	}
	file, err := f.writeSettings("traffic-"+name, text)
	if err != nil {
		return err
	}
	result := filepath.Join(f.dir, "traffic-"+name+".json")
	d := newDaemon("traffic/"+name, f.dir, "burdock-load", "--settings", file, "--out", result)
	f.daemons = append(f.daemons, d)
	f.traffic[name] = &trafficRun{daemon: d, duration: duration, result: result}
	return d.Start()
}

func (f *fleet) trafficSettings(rate, orders, resend string, duration, lag time.Duration) (string, error) {
	perSecond, err := strconv.ParseFloat(rate, 64)
	if err != nil {
		return "", err
	}
	share, err := strconv.ParseFloat(orders, 64)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[load]\nentries = [%s]\noperators = [%s]\nbalancer_lag = %q\nresend = %q\n",
		f.vmAddresses(settings.DefaultEntryPort), f.vmAddresses(settings.DefaultEntryOperatorPort), lag, resend)
	fmt.Fprintf(&b, "[[phase]]\nname = \"load\"\nrate = %f\nduration = %q\n", perSecond, duration)
	mix := func(kind, mode string, weight float64) {
		if weight > 0 {
			fmt.Fprintf(&b, "[[mix]]\nservice = %q\nkind = %q\nmode = %q\nweight = %f\ntoken = %q\ntimeout = \"5s\"\n",
				serviceName, kind, mode, weight, callerToken)
		}
	}
	mix("dawn", "search", 1-share)
	mix(orderKind, "order", share)
	for _, n := range f.leaves {
		fmt.Fprintf(&b, "[[leaf]]\nid = %q\ncontrol = \"%s:%d\"\n", n.name, n.bind, leafControlPort)
	}
	return b.String(), nil
}

// vmAddresses returns the addresses of a port of all VMs as TOML.
func (f *fleet) vmAddresses(port int) string {
	var all []string
	for _, n := range f.vms {
		all = append(all, fmt.Sprintf("\"%s:%d\"", n.bind, port))
	}
	return strings.Join(all, ", ")
}

// verbMeasured is: measured NAME WANT... It waits for the end of the run, whose table is in the process's
// log, and compares the number of requests: answered_whole=all, or NAME=N with the name of an outcome,
// untyped or mismatches.
func verbMeasured(f *fleet, a *arguments) error {
	if len(a.words) != 1 || f.traffic[a.words[0]] == nil {
		return fmt.Errorf("want the name of one running traffic, got %q", a.words)
	}
	run := f.traffic[a.words[0]]
	bound := run.duration + trafficEndTimeout
	if err := await("the end of the traffic", bound, func() error { return allEnded([]*daemon{run.daemon}) }); err != nil {
		return err
	}
	if err := run.daemon.WaitCleanExit(); err != nil {
		return err
	}
	data, err := os.ReadFile(run.result)
	if err != nil {
		return err
	}
	var result openloop.Result
	if err := json.Unmarshal(data, &result); err != nil {
		return err
	}
	got := sumOutcomes(&result)
	for key, want := range a.options {
		if want == "all" {
			want = strconv.FormatUint(got["requests"], 10)
		}
		if n := strconv.FormatUint(got[key], 10); n != want {
			return fmt.Errorf("%s is %s, want %s:\n%s", key, n, want, run.daemon.LogTail())
		}
	}
	return nil
}

// sumOutcomes sums requests by outcome, regardless of the reason, over phases and kinds.
func sumOutcomes(r *openloop.Result) map[string]uint64 {
	all := make(map[string]uint64)
	for _, k := range r.Kinds {
		all["requests"] += k.Requests
		all["untyped"] += k.Untyped
		all["mismatches"] += k.Mismatches
		for name, n := range k.Outcomes {
			kind, _, _ := strings.Cut(name, "/")
			all[kind] += n
		}
	}
	return all
}
