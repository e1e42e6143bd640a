// Package capacity measures the cost of the sync process as a function of the number of VMs. It runs many real
// syncs in this process, over UDP and TCP on loopback, each on its own IP address, against a stand-in platform
// in the same process. The product itself doesn't use this package.
package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// sample holds the CPU time and the counters at one time.
type sample struct {
	at     time.Time
	cpu    time.Duration
	totals totals
}

// sample takes a sample now.
func (f *fleet) sample() sample {
	return sample{at: time.Now(), cpu: processorTime(), totals: f.totals()}
}

// processorTime returns the user and system CPU time of this process, 0 if it can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident memory of this process in bytes, 0 if it can't be read.
func residentBytes() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// printer prints one line per phase to standard output.
type printer struct {
	f   *fleet
	vms int
}

func (p *printer) printHeader() {
	fmt.Println("vms\tphase\tseconds\tbytes/s/VM\tpackets/s/VM\tcalls/s/VM\tCPU % of a core/VM\tRSS MB/VM\tplatform reads/s\tnote")
}

// printPhase prints the cost of a phase that began at the sample from. Rates and memory are per VM, except the
// platform reads.
func (p *printer) printPhase(phase string, from sample, note string) {
	to := p.f.sample()
	seconds := to.at.Sub(from.at).Seconds()
	vms := float64(p.vms)
	per := func(v float64) float64 { return v / seconds / vms }
	fmt.Printf("%d\t%s\t%.1f\t%.0f\t%.2f\t%.3f\t%.3f\t%.1f\t%.2f\t%s\n", p.vms, phase, seconds,
		per(to.totals.bytes-from.totals.bytes), per(float64(to.totals.packets-from.totals.packets)), per(float64(to.totals.calls-from.totals.calls)),
		100*per((to.cpu-from.cpu).Seconds()), residentBytes()/vms/1e6, (to.totals.reads-from.totals.reads)/seconds, note)
}

// Options configures a run.
type Options struct {
	// VMs is the number of syncs. Zones is the number of availability zones.
	VMs, Zones int
	// Net is the second byte of the loopback addresses, 127.NET.x.y.
	Net int
	// Phase is the length of each phase.
	Phase time.Duration
	// Changes is the number of bundles published in the phase of changes. Replace is the number of VMs replaced in
	// the phase of replacements.
	Changes, Replace int
}

// Measure runs all phases and prints one line for each to standard output. It returns an error if ctx ends before
// the last phase.
func Measure(ctx context.Context, o Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, o)
	if err != nil {
		return err
	}
	length, err := f.publishNext()
	if err != nil {
		return err
	}
	p := &printer{f: f, vms: o.VMs}
	p.printHeader()
	from := f.sample()
	f.publishList(o.VMs)
	for range o.VMs {
		if err := f.add(ctx); err != nil {
			return err
		}
		time.Sleep(startInterval)
	}
	if _, err := f.awaitVersion(ctx); err != nil {
		return err
	}
	p.printPhase("start", from, fmt.Sprintf("bundle of %d bytes at all VMs", length))
	return p.phases(ctx, o)
}

// phases runs the phases after the start phase.
func (p *printer) phases(ctx context.Context, o Options) error {
	waitPhase := func() error { return sleep(ctx, o.Phase) }
	steps := []struct {
		name string
		run  func() (string, error)
	}{
		{"settle", func() (string, error) { return "", waitPhase() }},
		{"calm", func() (string, error) { return "", waitPhase() }},
		{"changes", func() (string, error) { return p.changes(ctx, o) }},
		{"zone cut", func() (string, error) { return "", runIfNil(p.f.setCut(true), waitPhase) }},
		{"healed", func() (string, error) { return "", runIfNil(p.f.setCut(false), waitPhase) }},
		{"replacements", func() (string, error) { return p.replacements(ctx, o) }},
		{"platform down", func() (string, error) { return "", runIfNil(p.f.setOutage(true), waitPhase) }},
		{"platform back", func() (string, error) { return p.platformBack(ctx, waitPhase) }},
	}
	for _, s := range steps {
		from := p.f.sample()
		note, err := s.run()
		if err != nil {
			return err
		}
		p.printPhase(s.name, from, note)
	}
	return nil
}

// runIfNil runs next if err is nil and returns the first error.
func runIfNil(err error, next func() error) error {
	if err != nil {
		return err
	}
	return next()
}

// changes publishes versions at equal intervals over the phase. It returns a note of how long the slowest VM took
// to apply them.
func (p *printer) changes(ctx context.Context, o Options) (string, error) {
	interval := o.Phase / time.Duration(o.Changes)
	var worst, sum time.Duration
	for range o.Changes {
		start := time.Now()
		if _, err := p.f.publishNext(); err != nil {
			return "", err
		}
		elapsed, err := p.f.awaitVersion(ctx)
		if err != nil {
			return "", err
		}
		worst, sum = max(worst, elapsed), sum+elapsed
		if err := sleep(ctx, interval-time.Since(start)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d changes; at the slowest VM after %.2f s (mean of changes), %.2f s (worst change)",
		o.Changes, sum.Seconds()/float64(o.Changes), worst.Seconds()), nil
}

// replacements stops VMs without a drain and starts as many new ones, at equal intervals over the phase.
func (p *printer) replacements(ctx context.Context, o Options) (string, error) {
	interval := o.Phase / time.Duration(o.Replace)
	for range o.Replace {
		start := time.Now()
		if err := p.f.replaceOldest(ctx); err != nil {
			return "", err
		}
		if err := sleep(ctx, interval-time.Since(start)); err != nil {
			return "", err
		}
	}
	_, err := p.f.awaitVersion(ctx)
	return fmt.Sprintf("%d VMs replaced", o.Replace), err
}

// platformBack publishes a version while the platform is down and then makes the platform available again. It
// returns a note of how long the version took from then on to be in force at all VMs.
func (p *printer) platformBack(ctx context.Context, waitPhase func() error) (string, error) {
	if _, err := p.f.publishNext(); err != nil {
		return "", err
	}
	if err := p.f.setOutage(false); err != nil {
		return "", err
	}
	elapsed, err := p.f.awaitVersion(ctx)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("version published meanwhile at the slowest VM after %.2f s", elapsed.Seconds()), waitPhase()
}

// sleep waits for d, or returns the error of ctx if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}
