//go:build review3

// Command stand-3 plays the script cases of the third review: it starts the project's
// processes on loopback addresses as the deploy file does, with stand-ins for the platform,
// the backend servers, the clients and the operator, and judges what they see.
//
// Its exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. A case returns what broke the rule, or nothing.
var cases = map[string]func(*stand) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD; run in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) (status int) {
	s, err := newStand(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	defer func() {
		if e := recover(); e != nil {
			s.log("the case could not run: %v", e)
			fmt.Fprintln(os.Stderr, "cannot run:", e)
			status = 2
		}
	}()
	s.log("case %s, trouble %v", name, s.trouble)
	broken := cases[name](s)
	for _, b := range broken {
		s.log("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	s.log("the rule held")
	fmt.Println("the rule held;", filepath.Base(record), "has the record")
	return 0
}
