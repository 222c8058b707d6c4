// Command harness runs the scripted cases of the review. It starts entry VMs as processes of the program under review,
// and a metadata store, endpoints and callers as stand-ins on loopback. See the run.sh of each case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*run) bool{
		"copies":  runCopies,
		"retired": runRetired,
		"foreign": runForeign,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness copies|retired|foreign FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	os.Exit(r.play(cases[os.Args[1]]))
}
