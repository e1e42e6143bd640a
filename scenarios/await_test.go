package scenarios

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// readyTimeout is the time within which a fleet has to be ready, also on a busy machine.
	readyTimeout = 60 * time.Second
	// awaitTimeout is the timeout of a condition for which the scenario sets none.
	awaitTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// await polls until the condition returns nil. After the timeout it returns the condition's last error.
func await(what string, timeout time.Duration, condition func() error) error {
	start := time.Now()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("%s: not within %s: %w", what, timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) platformUp() error {
	_, err := get(f.platformURL("/reads"))
	return err
}

// allReady returns an error that names the first process that has ended or is not ready.
func (f *fleet) allReady(daemons []*daemon) error {
	for _, d := range daemons {
		if !d.Running() {
			return fmt.Errorf("%s has ended; last lines of its log:\n%s", d.Name(), d.LogTail())
		}
		if err := f.processReady(d.Name()); err != nil {
			return fmt.Errorf("%s is not ready: %w", d.Name(), err)
		}
	}
	return nil
}

func (f *fleet) processReady(name string) error {
	role, of, _ := strings.Cut(name, "/")
	switch role {
	case platformName:
		return f.platformUp()
	case "leaf":
		n, err := f.leaf(of)
		if err != nil {
			return err
		}
		_, err = get(leafURL(n, "/log"))
		return err
	}
	url, err := f.operatorURL(name, "/ready")
	if err != nil {
		return err
	}
	_, err = get(url)
	return err
}

// metric returns the value of a metric, summed over the label sets that contain all of the given label
// texts, such as reason="overload".
func (f *fleet) metric(process, name string, labels ...string) (float64, error) {
	url, err := f.operatorURL(process, "/metrics")
	if err != nil {
		return 0, err
	}
	text, err := get(url)
	if err != nil {
		return 0, err
	}
	sum, found := 0.0, false
	for line := range strings.Lines(text) {
		value, ok := metricValue(strings.TrimSpace(line), name, labels)
		if ok {
			sum, found = sum+value, true
		}
	}
	if !found {
		return 0, fmt.Errorf("%s exports no metric %s %v", process, name, labels)
	}
	return sum, nil
}

func metricValue(line, name string, labels []string) (float64, bool) {
	rest, ok := strings.CutPrefix(line, name)
	if !ok || rest == "" || (rest[0] != ' ' && rest[0] != '{') {
		return 0, false
	}
	for _, l := range labels {
		if !strings.Contains(rest, l) {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(rest[strings.LastIndex(rest, " ")+1:], 64)
	return v, err == nil
}

// atBundleVersion returns an error until the bundle version is in force in each of the processes.
func (f *fleet) atBundleVersion(version float64, daemons []*daemon) error {
	for _, d := range daemons {
		v, err := f.metric(d.Name(), "burdock_bundle_version")
		if err != nil {
			return err
		}
		if v != version {
			return fmt.Errorf("%s has bundle version %g, want %g", d.Name(), v, version)
		}
	}
	return nil
}

// refusedAtLeast returns an error until each of the processes has refused at least that many bundles.
func (f *fleet) refusedAtLeast(times float64, daemons []*daemon) error {
	for _, d := range daemons {
		n, err := f.metric(d.Name(), "burdock_bundle_refused_total")
		if err != nil {
			return err
		}
		if n < times {
			return fmt.Errorf("%s has refused %g bundles, want at least %g", d.Name(), n, times)
		}
	}
	return nil
}

// metricAtLeast returns an error until the metric, summed over the processes, reaches the minimum.
func (f *fleet) metricAtLeast(metric string, minimum float64, daemons []*daemon) error {
	sum := 0.0
	for _, d := range daemons {
		n, err := f.metric(d.Name(), metric)
		if err == nil { // a counter that was never incremented is not exported
			sum += n
		}
	}
	if sum < minimum {
		return fmt.Errorf("%s is %g, want at least %g", metric, sum, minimum)
	}
	return nil
}

// vmProcesses returns the running processes of VMs, without stand-ins and frozen processes.
func vmProcesses(daemons []*daemon) []*daemon {
	var all []*daemon
	for _, d := range daemons {
		if role, _, _ := strings.Cut(d.Name(), "/"); operatorPorts[role] != 0 && d.Running() && !d.Frozen() {
			all = append(all, d)
		}
	}
	return all
}

func allEnded(daemons []*daemon) error {
	for _, d := range daemons {
		if d.Running() {
			return fmt.Errorf("%s is still running", d.Name())
		}
	}
	return nil
}

func allRunning(daemons []*daemon) error {
	for _, d := range daemons {
		if !d.Running() {
			return fmt.Errorf("%s has ended", d.Name())
		}
	}
	return nil
}
