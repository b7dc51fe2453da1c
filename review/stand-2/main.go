//go:build review2

// Command stand-2 plays one case of the second review: it starts the processes of a
// small deployment, acts as its clients, searchers and operator, and judges one rule by
// what these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// outcome is what a case found.
type outcome struct {
	broken bool
	text   string
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(*cluster, bool) (outcome, error){"mixed": playMixed, "attempts": playAttempts, "gone": playGone, "stale": playStale, "cold": playCold}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, start: time.Now()}
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		c.close()
		os.Exit(2)
	}()
	go func() {
		time.Sleep(110 * time.Second)
		rec.logf("the case took too long")
		c.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	result, err := play(c, trouble)
	c.close()
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case result.broken:
		rec.logf("BROKEN: %s", result.text)
		fmt.Println("BROKEN:", result.text)
		os.Exit(1)
	}
	rec.logf("held: %s", result.text)
	fmt.Println("held:", result.text)
}
