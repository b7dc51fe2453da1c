package commands

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// documentedCommands returns the arguments of every command line of program
// that is shown in the operators' pages.
func documentedCommands(t *testing.T, program string) [][]string {
	t.Helper()
	pages, err := filepath.Glob("../../../../docs/operators/*.md")
	if err != nil {
		t.Fatal(err)
	}
	var commands [][]string
	for _, page := range append(pages, "../../../../docs/tickets.md", "../../../../docs/OPERATIONS.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if rest, found := strings.CutPrefix(strings.TrimSpace(line), "$ "+program+" "); found {
				commands = append(commands, strings.Fields(rest))
			}
		}
	}
	return commands
}

// Guards against operators' pages that show commands, arguments or flags that
// don't exist.
func TestDocumentedCommandsExist(t *testing.T) {
	commands := documentedCommands(t, "zinniactl")
	if len(commands) == 0 {
		t.Fatal("no command found on the operators' pages")
	}
	for _, args := range commands {
		found, rest, err := (&environment{}).rootCommand().Find(args)
		if err == nil {
			err = found.ParseFlags(rest)
		}
		if err == nil {
			err = found.ValidateArgs(found.Flags().Args())
		}
		if err != nil || !found.Runnable() {
			t.Errorf("zinniactl %s: runnable %v, error %v", strings.Join(args, " "), found.Runnable(), err)
		}
	}
}
