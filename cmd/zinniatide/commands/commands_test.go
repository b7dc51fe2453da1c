package commands

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
	"zinniatide.example/zinniatide/platform"
)

// Guards against operators' pages that show command lines with invalid
// settings.
func TestDocumentedCommandsHaveValidSettings(t *testing.T) {
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
			if err := validateCommandLine(args); err != nil {
				t.Errorf("%s: %s: %v", page, rest, err)
			}
		}
	}
	if checked == 0 {
		t.Error("no command found on the operators' pages")
	}
}

// validateCommandLine parses a command line and validates its settings without
// running the command.
func validateCommandLine(args []string) error {
	command, load := newRunCommand().command, settings.Load
	switch args[0] {
	case "init":
		command, load = newInitCommand().command, settings.LoadInit
	case "platform":
		// Its settings come from a file, so only flags and arguments are checked.
		command = newPlatformCommand().command
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

// Guards against invalid settings that exit with the code of a failure, or that
// start the process.
func TestInvalidSettingsExitCode(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	for _, args := range [][]string{{"run"}, {"run", "--no-such-flag"}, {"init", "--vm", "e1"}, {"platform"}, {"platform", "--metrics-port", "x"}} {
		if got, want := Execute(args), exitInvalidSettings; got != want {
			t.Errorf("Execute(%q) = %d, want %d", args, got, want)
		}
	}
}

// Guards against an init that overwrites the log of an existing system.
func TestInitRejectsUsedFolder(t *testing.T) {
	args := []string{"init", "--vm", "e1", "--data-folder", t.TempDir(), "--control-vms", "e1=127.0.0.1:7000"}
	if got, want := Execute(args), exitOK; got != want {
		t.Fatalf("first init = %d, want %d", got, want)
	}
	if got, want := Execute(args), exitFailed; got != want {
		t.Errorf("second init = %d, want %d", got, want)
	}
}
