// Command review-stand plays the users' platform for the cases of the folder review: the store, the leaves, the
// clients and the platform's restarts of burdock-node processes. It runs one scenario and writes what was sent,
// answered and run to a record.
//
// Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken says that the rule of the scenario was broken.
var errBroken = errors.New("the rule was broken")

// scenarios holds the scenarios by name.
var scenarios = map[string]func(ctx context.Context, w *world, trouble bool) error{
	"drain":    drainAfterLostReaders,
	"unsigned": unsignedSuccess,
}

// scenarioTimeout ends a scenario that takes longer than a script may.
const scenarioTimeout = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "scenario to run")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	scenario, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "review-stand: no scenario %q\n", *name)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	w, err := newWorld(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-stand:", err)
		return 2
	}
	defer w.close()
	err = scenario(ctx, w, *trouble)
	w.noteRuns()
	if ctx.Err() != nil {
		err = ctx.Err() // cut short: it says nothing
	}
	switch {
	case err == nil:
		w.note("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		return 1
	}
	w.note("result: the case couldn't run: %v", err)
	return 2
}
