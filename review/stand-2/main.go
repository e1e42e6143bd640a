package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases by name. Each plays its case, with the disruption if trouble is set, and reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"silent": playSilent,
	"seeds":  playSeeds,
	"idle":   playIdle,
	"crash":  playCrash,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return notRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-2:", err)
		return notRun
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.close()
		os.Exit(notRun)
	}()
	isBroken, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	case isBroken:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return held
}
