// Command burdockctl is the command-line tool for operators of burdockplank. Package ctl defines its commands and
// exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/burdockplank/burdockplank/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := initialize(ctl.Streams{Out: os.Stdout, Err: os.Stderr})
	return ctl.Main(ctx, app, os.Args[1:])
}
