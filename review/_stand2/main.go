package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	limitDescriptors()
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	defer func() {
		if p := recover(); p != nil {
			e, ok := p.(notRun)
			if !ok {
				panic(p)
			}
			rec.printf("not run: %v", e.error)
			fmt.Println("not run:", e.error)
			code = exitNotRun
		}
	}()
	w := newWorld(rec)
	defer w.close()
	if cases[name](w, os.Getenv("TROUBLE") != "0") {
		fmt.Println("rule broken")
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

// descriptors is how many a process of the deployment may have.
const descriptors = 4100

// limitDescriptors gives this process and those that it starts the limit of the deployment, unless theirs is lower.
func limitDescriptors() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Max >= descriptors {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: descriptors, Max: descriptors})
	}
}
