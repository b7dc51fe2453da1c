package commands

import (
	"bytes"
	"os"
	"testing"
)

// Guards against a timeline that lacks lines, contains lines of other requests
// or is out of order.
func TestFollow(t *testing.T) {
	for name, args := range map[string][]string{
		"testdata/follow.golden":        {"follow", "r1"},
		"testdata/follow-around.golden": {"follow", "--around", "1s", "r1"},
	} {
		var out, errOut bytes.Buffer
		args = append(args, "testdata/relay-b.log", "testdata/relay-a.log")
		if code := Execute(args, nil, &out, &errOut); code != exitOK {
			t.Fatalf("%v: got exit code %d, %s", args, code, errOut.String())
		}
		if os.Getenv("UPDATE_GOLDEN") != "" {
			if err := os.WriteFile(name, out.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != string(want) {
			t.Errorf("%v: got\n%s\nwant\n%s", args, got, want)
		}
	}
	if code := Execute([]string{"follow", "nobody", "testdata/relay-a.log"}, nil, &bytes.Buffer{}, &bytes.Buffer{}); code != exitRefused {
		t.Errorf("unknown request: got exit code %d, want %d", code, exitRefused)
	}
}
