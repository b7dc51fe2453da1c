package commands

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
	"zinniatide.example/zinniatide/platform"
)

// Guards against pages that show settings that the process refuses.
func TestPagesShowValidSettings(t *testing.T) {
	pages, err := filepath.Glob("../../../docs/operators/*.md")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			rest, found := strings.CutPrefix(strings.TrimSpace(line), "$ zinniatide ")
			if !found {
				continue
			}
			checked++
			args := strings.Fields(strings.ReplaceAll(rest, "/var/lib/zinniatide", t.TempDir()))
			if err := checkSettings(args); err != nil {
				t.Errorf("%s: %s: %v", page, rest, err)
			}
		}
	}
	if checked == 0 {
		t.Error("no command found on the operators' pages")
	}
}

// checkSettings parses a command line and checks its settings, without running it.
func checkSettings(args []string) error {
	command, load := newRun().command, settings.Load
	switch args[0] {
	case "init":
		command, load = newInit().command, settings.LoadInit
	case "platform":
		// Its settings come from a file; the page shows flags and arguments.
		command = newPlatform().command
		if err := command.ParseFlags(args[1:]); err != nil {
			return err
		}
		return command.ValidateArgs(command.Flags().Args())
	}
	if err := command.ParseFlags(args[1:]); err != nil {
		return err
	}
	_, err := load(command.Flags())
	return err
}

// Guards against a wrong setting that ends with the exit code of a failure, or
// that starts the process.
func TestWrongSettingExitsWithTwo(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	for _, args := range [][]string{{"run"}, {"run", "--no-such-flag"}, {"init", "--vm", "e1"}, {"platform"}, {"platform", "--metrics-port", "x"}} {
		if got, want := Execute(args), exitSettings; got != want {
			t.Errorf("Execute(%q) = %d, want %d", args, got, want)
		}
	}
}

// Guards against an init that overwrites the log of a running system.
func TestInitRefusesUsedFolder(t *testing.T) {
	args := []string{"init", "--vm", "e1", "--data-folder", t.TempDir(), "--control-vms", "e1=127.0.0.1:7000"}
	if got, want := Execute(args), exitOK; got != want {
		t.Fatalf("first init = %d, want %d", got, want)
	}
	if got, want := Execute(args), exitFailed; got != want {
		t.Errorf("second init = %d, want %d", got, want)
	}
}
