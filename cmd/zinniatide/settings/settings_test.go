package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"

	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
)

func valid() settings.Config {
	return settings.Config{
		VM: "e1", Zone: "zone-a", Roles: []string{"entry"}, HTTPAddress: "127.0.0.1:8001", PeerAddress: "127.0.0.1:7001",
		ControlVMs: []string{"e1=127.0.0.1:7001"}, LogLevel: "info", StopLimit: 30 * time.Second,
	}
}

// Guards against a wrong setting that is accepted, or reported without its
// flag, value and allowed range.
func TestCompileNamesWrongSettings(t *testing.T) {
	cases := []struct {
		name   string
		change func(*settings.Config)
		want   []string // parts of the error
	}{
		{"empty vm", func(c *settings.Config) { c.VM = "" }, []string{`--vm: got ""`}},
		{"address without port", func(c *settings.Config) { c.HTTPAddress = "127.0.0.1" }, []string{`--http-address: got "127.0.0.1"`, "IP:port"}},
		{"host name", func(c *settings.Config) { c.PeerAddress = "localhost:1" }, []string{"--peer-address"}},
		{"role", func(c *settings.Config) { c.Roles = []string{"owner"} }, []string{`--roles: got "owner"`}},
		{"control without folder", func(c *settings.Config) { c.Roles = []string{"control"} }, []string{"--data-folder"}},
		{"twice the same VM", func(c *settings.Config) { c.ControlVMs = append(c.ControlVMs, c.ControlVMs[0]) }, []string{"each VM once"}},
		{"two errors", func(c *settings.Config) { c.LogLevel, c.StopLimit = "loud", 0 }, []string{"--log-level", "--stop-limit"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cfg := valid()
			tc.change(&cfg)
			_, err := settings.Compile(cfg)
			if err == nil {
				t.Fatalf("Compile accepted %+v", cfg)
			}
			for _, want := range tc.want {
				if got := err.Error(); !strings.Contains(got, want) {
					t.Errorf("error %q, want it to contain %q", got, want)
				}
			}
		})
	}
}

// Guards against environment variables that are ignored or that win over flags.
func TestFlagWinsOverEnvironment(t *testing.T) {
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
