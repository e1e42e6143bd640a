package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/process"
)

// fleetWorkers is the maximum number of processes queried concurrently.
const fleetWorkers = 32

// FleetCmd queries the state of each process and prints it.
type FleetCmd struct {
	Operator []string      `placeholder:"IP:PORT" help:"Operators' listener of a process; may be given several times or with commas."`
	List     string        `help:"File with one IP:PORT a line; '#' starts a comment."`
	Timeout  time.Duration `default:"2s" help:"How long to wait for each process."`
}

// Run implements the command.
func (c *FleetCmd) Run(ctx context.Context, app *App) error {
	addrs, err := c.addresses()
	if err != nil {
		return err
	}
	r := newFleetReport(app.queryAll(ctx, c.Timeout, addrs))
	if err := app.print(r); err != nil {
		return err
	}
	if r.Unreachable > 0 {
		return &exitError{code: ExitFailure}
	}
	return nil
}

// addresses returns the operators' listeners from --operator and --list.
func (c *FleetCmd) addresses() ([]string, error) {
	addrs := c.Operator
	if c.List != "" {
		listed, err := readAddresses(c.List)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, listed...)
	}
	for _, a := range addrs {
		if err := checkAddress("operator", a); err != nil {
			return nil, err
		}
	}
	if len(addrs) == 0 {
		return nil, usageErrorf("no process to ask: give --operator IP:PORT or --list FILE")
	}
	return addrs, nil
}

// readAddresses reads whitespace-separated addresses from a file. '#' starts a comment.
func readAddresses(file string) ([]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "ctl.fleet")
	}
	defer func() { _ = f.Close() }()
	var addrs []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		addrs = append(addrs, strings.Fields(line)...)
	}
	return addrs, eris.Wrap(lines.Err(), "ctl.fleet")
}

// processReport is the state of one process.
type processReport struct {
	Operator string `json:"operator"`
	// Info is nil if the process reported no process information.
	Info  *process.Info `json:"process,omitempty"`
	Ready bool          `json:"ready"`
	// NotReadyReason is why the process isn't ready, empty if it is.
	NotReadyReason string `json:"why,omitempty"`
	// Unreachable is why the process didn't answer, empty if it did.
	Unreachable string `json:"unreachable,omitempty"`
}

// queryAll queries the processes, up to fleetWorkers concurrently. It returns one report per address, in the
// order of addrs.
func (a *App) queryAll(ctx context.Context, timeout time.Duration, addrs []string) []processReport {
	reports := make([]processReport, len(addrs))
	indices := make(chan int)
	var wg sync.WaitGroup
	for range min(fleetWorkers, len(addrs)) {
		wg.Go(func() {
			for i := range indices {
				reports[i] = a.query(ctx, timeout, addrs[i])
			}
		})
	}
	for i := range addrs {
		indices <- i
	}
	close(indices)
	wg.Wait()
	return reports
}

// query reads the readiness and the dump of one process.
func (a *App) query(ctx context.Context, timeout time.Duration, addr string) processReport {
	p := processReport{Operator: addr}
	status, body, err := a.operators.get(ctx, timeout, addr, "/ready")
	if err != nil {
		p.Unreachable = strings.TrimPrefix(err.Error(), addr+": ")
		return p
	}
	p.Ready = status == http.StatusOK
	if !p.Ready {
		p.NotReadyReason = strings.TrimSpace(string(body))
	}
	duties, err := a.operators.dump(ctx, timeout, addr)
	if err != nil {
		p.Unreachable = strings.TrimPrefix(err.Error(), addr+": ")
		return p
	}
	var info process.Info
	if json.Unmarshal(duties[process.InfoDuty], &info) == nil {
		p.Info = &info
	}
	return p
}
