// Package capacity measures what the sync costs by the number of VMs: real syncs over UDP and TCP on
// loopback, each on an IP number of its own, many in this process, before a stand-in platform that runs
// in it too. Nothing of the product uses it.
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

// sample is what stands at one time.
type sample struct {
	at     time.Time
	cpu    time.Duration
	totals totals
}

func (f *fleet) sample() sample {
	return sample{at: time.Now(), cpu: processorTime(), totals: f.totals()}
}

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes is the memory of this process.
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

// printer prints a line a phase.
type printer struct {
	f   *fleet
	vms int
}

func (p *printer) printHeader() {
	fmt.Println("vms\tphase\tseconds\tbytes/s/VM\tpackets/s/VM\tcalls/s/VM\tCPU % of a core/VM\tRSS MB/VM\tplatform reads/s\tnote")
}

func (p *printer) printPhase(phase string, from sample, note string) {
	to := p.f.sample()
	seconds := to.at.Sub(from.at).Seconds()
	vms := float64(p.vms)
	per := func(v float64) float64 { return v / seconds / vms }
	fmt.Printf("%d\t%s\t%.1f\t%.0f\t%.2f\t%.3f\t%.3f\t%.1f\t%.2f\t%s\n", p.vms, phase, seconds,
		per(to.totals.bytes-from.totals.bytes), per(float64(to.totals.packets-from.totals.packets)), per(float64(to.totals.calls-from.totals.calls)),
		100*per((to.cpu-from.cpu).Seconds()), residentBytes()/vms/1e6, (to.totals.reads-from.totals.reads)/seconds, note)
}

// Options of a run.
type Options struct {
	// VMs is the number of syncs, Zones that of availability zones.
	VMs, Zones int
	// Net is the second number of the loopback addresses.
	Net int
	// Phase is the length of each phase.
	Phase time.Duration
	// Changes and Replace are how many bundles are published, and VMs replaced, in their phases.
	Changes, Replace int
}

// Measure runs all phases and prints a line for each to standard output, until ctx ends.
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

// phases runs what follows the start.
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

func runIfNil(err error, next func() error) error {
	if err != nil {
		return err
	}
	return next()
}

// changes publishes versions over the phase, and tells how long the slowest VM of each took.
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

// replacements ends VMs without a drain and starts as many new ones over the phase.
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

// platformBack publishes a version while the platform is down and tells how long it took once it was back.
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

// sleep waits, or returns the reason why ctx ended.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}
