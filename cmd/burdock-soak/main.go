// Command burdock-soak runs burdock-node as several processes on loopback under seeded faults and checks its
// guarantees. Exit codes: 0 no violation was found, 1 a guarantee was broken, 2 the command line is invalid, 3 a run
// could not be carried out.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/soak"
	"github.com/burdockplank/burdockplank/internal/version"
)

const (
	exitViolation = 1
	exitNotPlayed = 3
)

// common holds the flags that both commands take.
type common struct {
	Program string        `help:"Path of burdock-node." default:"bin/burdock-node" placeholder:"FILE"`
	VMs     int           `name:"vms" help:"Number of VMs." default:"${vms}"`
	Zones   int           `help:"Number of availability zones." default:"${zones}"`
	Strong  int           `help:"How many VMs, the first ones, have four times the processor of the others; 0 for all alike." default:"0"`
	Faults  time.Duration `help:"How long faults are injected." default:"${faults}"`
	Net     int           `help:"Second number of the loopback addresses 127.NET.x.y." default:"70"`
	Out     string        `help:"Directory of reports and logs." default:"soak-out" placeholder:"DIR"`
	JSON    bool          `name:"json" help:"Print reports as JSON."`
}

// Validate checks the flags. kong calls it after parsing.
func (c *common) Validate() error {
	const maxVMs, maxNet = 250, 254
	if c.VMs < 1 || c.VMs > maxVMs || c.Zones < 1 || c.Zones > c.VMs || c.Strong < 0 || c.Strong > c.VMs || c.Net < 1 || c.Net > maxNet || c.Faults <= 0 {
		return fmt.Errorf("want 1 to %d VMs, 1 zone and strong VM a VM at most, a net of 1 to %d and a time of faults", maxVMs, maxNet)
	}
	return nil
}

// options returns the options of a run with the seed.
func (c *common) options(seed uint64, keep bool) soak.Options {
	return soak.Options{
		Seed: seed, Size: soak.Size{VMs: c.VMs, Zones: c.Zones, Faults: c.Faults, LargerVMs: c.Strong}, Program: c.Program, Net: c.Net, Out: c.Out, Keep: keep,
	}
}

// commandLine holds the commands and flags for kong.
type commandLine struct {
	Run struct {
		common
		Seed    uint64  `help:"First seed; drawn where it is 0."`
		Seeds   int     `help:"How many seeds, one after the other." default:"1"`
		Minutes float64 `help:"Go on with fresh seeds for so long, whatever --seeds says."`
	} `cmd:"" help:"Play seeds."`
	Replay struct {
		common
		Seed uint64 `arg:"" help:"Seed to play again; all logs are kept."`
	} `cmd:"" help:"Play one seed again."`
	Version kong.VersionFlag `help:"Print the version and end."`
}

func main() {
	var c commandLine
	size := soak.DefaultSize()
	parser := kong.Must(&c, kong.Name("burdock-soak"),
		kong.Vars{
			"version": version.Version, "vms": strconv.Itoa(size.VMs), "zones": strconv.Itoa(size.Zones), "faults": size.Faults.String(),
		},
		kong.Description("Runs burdock-node under seeded faults and checks its guarantees."))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdock-soak:", err)
		os.Exit(settings.ExitCode)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if k.Command() == "replay <seed>" {
		os.Exit(play(ctx, c.Replay.options(c.Replay.Seed, true), c.Replay.JSON))
	}
	os.Exit(c.run(ctx))
}

// run runs seeds one after another until ctx ends, or until both the number of seeds and the time are reached. It
// returns the highest exit code of the runs.
func (c *commandLine) run(ctx context.Context) int {
	seed, code := c.Run.Seed, 0
	end := time.Now().Add(time.Duration(c.Run.Minutes * float64(time.Minute)))
	for n := 0; ctx.Err() == nil && (n < c.Run.Seeds || time.Now().Before(end)); n++ {
		if seed == 0 || n > 0 && c.Run.Seed == 0 {
			seed = rand.Uint64N(1<<32) + 1
		}
		code = max(code, play(ctx, c.Run.options(seed, false), c.Run.JSON))
		seed++
	}
	return code
}

// play runs one seed, prints its report and returns the exit code.
func play(ctx context.Context, o soak.Options, asJSON bool) int {
	r, err := soak.Play(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdock-soak:", err)
		return exitNotPlayed
	}
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			fmt.Fprintln(os.Stderr, "burdock-soak:", err)
			return exitNotPlayed
		}
	} else {
		r.WriteText(os.Stdout)
	}
	if r.Failed() {
		return exitViolation
	}
	return 0
}
