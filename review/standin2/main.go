// Command review2 holds the stand-ins of the second review's cases: workers, clients and a front between clients
// and routers.
// Each case is a subcommand that starts the project's programs as processes of their own, plays the case once and exits
// with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name; each reports whether the rule held.
var cases = map[string]func(*scene) bool{
	"afterkill": afterKill,    // review/6
	"second":    secondAnswer, // review/7
	"sametwice": sameTwice,    // review/8
	"pushback":  pushback,     // review/9
	"moved":     moved,        // review/10
	// Trials that are no cases; review/REPORT-2.md says why.
	"stopping":      stopping,
	"crowd":         crowd,
	"manyfunctions": manyFunctions,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "crowd-clients" {
		crowdClients(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER, from the repository's root; TROUBLE=0 plays it without the disruption")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(run func(*scene) bool, folder string) (code int) {
	s, err := newScene(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.end()
	defer func() {
		if fault := recover(); fault != nil {
			s.note("the case could not run: %v", fault)
			code = 2
		}
	}()
	if run(s) {
		s.note("the rule held")
		return 0
	}
	s.note("THE RULE WAS BROKEN")
	return 1
}
