package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"

	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
)

func validSettings() settings.RawSettings {
	return settings.RawSettings{
		VM: "e1", Zone: "zone-a", Roles: []string{"entry"}, HTTPAddress: "127.0.0.1:8001", PeerAddress: "127.0.0.1:7001",
		ControlVMs: []string{"e1=127.0.0.1:7001"}, LogLevel: "info", StopTimeout: 30 * time.Second,
	}
}

// Guards against invalid settings that are accepted, or whose error lacks the
// flag, the value or the allowed range.
func TestValidateReportsInvalidSettings(t *testing.T) {
	cases := []struct {
		name   string
		change func(*settings.RawSettings)
		want   []string // substrings of the error
	}{
		{"empty vm", func(raw *settings.RawSettings) { raw.VM = "" }, []string{`--vm: got ""`}},
		{"address without port", func(raw *settings.RawSettings) { raw.HTTPAddress = "127.0.0.1" }, []string{`--http-address: got "127.0.0.1"`, "IP:port"}},
		{"address with host name", func(raw *settings.RawSettings) { raw.PeerAddress = "localhost:1" }, []string{"--peer-address"}},
		{"unknown role", func(raw *settings.RawSettings) { raw.Roles = []string{"owner"} }, []string{`--roles: got "owner"`}},
		{"control without data folder", func(raw *settings.RawSettings) { raw.Roles = []string{"control"} }, []string{"--data-folder"}},
		{"duplicate control VM", func(raw *settings.RawSettings) { raw.ControlVMs = append(raw.ControlVMs, raw.ControlVMs[0]) }, []string{"each VM once"}},
		{"two errors", func(raw *settings.RawSettings) { raw.LogLevel, raw.StopTimeout = "loud", 0 }, []string{"--log-level", "--stop-limit"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			raw := validSettings()
			tc.change(&raw)
			_, err := settings.Validate(raw)
			if err == nil {
				t.Fatalf("Validate accepted %+v", raw)
			}
			for _, want := range tc.want {
				if got := err.Error(); !strings.Contains(got, want) {
					t.Errorf("error %q, want it to contain %q", got, want)
				}
			}
		})
	}
}

// Guards against environment variables that are ignored or take precedence over
// flags.
func TestFlagOverridesEnvironment(t *testing.T) {
	for name, value := range map[string]string{
		"VM": "from-environment", "ZONE": "zone-b", "ROLES": "entry", "HTTP_ADDRESS": "127.0.0.1:8001",
		"PEER_ADDRESS": "127.0.0.1:7001", "CONTROL_VMS": "c1=127.0.0.1:7001,c2=127.0.0.1:7002",
	} {
		t.Setenv(settings.EnvironmentPrefix+"_"+name, value)
	}
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	settings.AddFlags(flags)
	if err := flags.Parse([]string{"--vm=from-flag"}); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(flags)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(s.VM), "from-flag"; got != want {
		t.Errorf("VM = %q, want %q", got, want)
	}
	if got, want := string(s.Zone), "zone-b"; got != want {
		t.Errorf("Zone = %q, want %q", got, want)
	}
	if got, want := len(s.ControlVMs), 2; got != want {
		t.Errorf("%d control VMs, want %d", got, want)
	}
}
