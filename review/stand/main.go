//go:build review

// Command stand runs the cases of the review against the processes of the system:
// it plays the platform, the operator, the back ends and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(rec *recorder, trouble bool) (held bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*recorder, bool) bool, folder string) (code int) {
	rec := newRecorder(filepath.Join(folder, "record.txt"))
	defer func() { _ = rec.file.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	defer func() {
		if problem := recover(); problem != nil {
			s, ok := problem.(setupError)
			if !ok {
				panic(problem)
			}
			rec.say("the case could not run: %s", s.message)
			code = 2
		}
	}()
	if play(rec, trouble) {
		rec.say("the rule held")
		return 0
	}
	rec.say("THE RULE WAS BROKEN")
	return 1
}
