// Command standins runs one case of the review: the programs of the project as separate
// processes on loopback addresses, with stand-ins for engines, clients and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

var cases = map[string]func(*cluster, bool) (bool, error){
	"leaver": caseLeaver,
	"stop":   caseStop,
	"route":  caseRoute,
	"texts":  caseTexts,
	"late":   caseLate,
	"polls":  casePolls,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCluster(rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer c.stop()
	limit := time.AfterFunc(110*time.Second, func() {
		rec.say("the case could not run: it took too long")
		c.stop()
		rec.close()
		os.Exit(exitNotRun)
	})
	defer limit.Stop()
	rec.add("case %s, disruption %v", os.Args[1], trouble)
	if err := c.startCloud(); err == nil {
		err = c.startAll()
	}
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](c, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
