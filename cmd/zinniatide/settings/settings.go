// Package settings reads and checks the settings of a zinniatide process.
package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"zinniatide.example/zinniatide"
)

// EnvironmentPrefix precedes the name of a flag in its environment variable:
// --http-address is ZINNIATIDE_HTTP_ADDRESS.
const EnvironmentPrefix = "ZINNIATIDE"

// Config holds the settings as they were written.
type Config struct {
	VM             string
	Zone           string
	Roles          []string
	HTTPAddress    string
	PeerAddress    string
	MetricsAddress string
	DataFolder     string
	ControlVMs     []string
	LogLevel       string
	StopLimit      time.Duration
}

// Settings holds the checked settings.
type Settings struct {
	VM             zinniatide.VMID
	Zone           zinniatide.ZoneID
	Entry          bool
	Control        bool
	HTTPAddress    string
	PeerAddress    string
	MetricsAddress string // empty: no metrics are served
	DataFolder     string
	ControlVMs     []zinniatide.ControlVM
	LogLevel       slog.Level
	StopLimit      time.Duration
}

// AddFlags adds every setting to flags.
func AddFlags(flags *pflag.FlagSet) {
	flags.String("vm", "", "id of this VM, unique in the system")
	flags.String("zone", "", "availability zone of this VM")
	flags.StringSlice("roles", []string{"entry"}, "roles of this process: entry, control, or both")
	flags.String("http-address", "", "IP:port for callers, backend servers and operators")
	flags.String("peer-address", "", "IP:port for the other VMs of the system")
	flags.String("metrics-address", "", "IP:port that serves /metrics; empty for none")
	flags.String("data-folder", "", "folder for the durable state; required for the control role")
	flags.StringSlice("control-vms", nil, "control VMs as ID=IP:PEER-PORT, separated by commas")
	flags.String("log-level", "info", "least level that is logged: debug, info, warn or error")
	flags.Duration("stop-limit", 30*time.Second, "time that a planned stop may take, 1s to 10m")
}

// AddInitFlags adds the settings of the command init to flags.
func AddInitFlags(flags *pflag.FlagSet) {
	flags.String("vm", "", "id of this VM, unique in the system")
	flags.String("data-folder", "", "folder for the durable state")
	flags.StringSlice("control-vms", nil, "control VMs as ID=IP:PEER-PORT, separated by commas")
}

// LoadInit reads the settings of the command init.
func LoadInit(flags *pflag.FlagSet) (*Settings, error) {
	v, err := reader(flags)
	if err != nil {
		return nil, err
	}
	var c checks
	s := &Settings{VM: zinniatide.VMID(c.id("vm", v.GetString("vm"))), Control: true, DataFolder: v.GetString("data-folder")}
	c.controlVMs(s, list(v.GetStringSlice("control-vms")))
	c.dataFolder(s)
	return s, errors.Join(c.errs...)
}

func reader(flags *pflag.FlagSet) (*viper.Viper, error) {
	v := viper.New()
	v.SetEnvPrefix(EnvironmentPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return v, zinniatide.WrapStep(v.BindPFlags(flags), "read settings", "flags")
}

// Load reads the settings from flags, and from the environment where a flag
// is not given, and checks them as a whole. The error names every wrong setting.
func Load(flags *pflag.FlagSet) (*Settings, error) {
	v, err := reader(flags)
	if err != nil {
		return nil, err
	}
	return Compile(Config{
		VM: v.GetString("vm"), Zone: v.GetString("zone"), Roles: list(v.GetStringSlice("roles")),
		HTTPAddress: v.GetString("http-address"), PeerAddress: v.GetString("peer-address"),
		MetricsAddress: v.GetString("metrics-address"), DataFolder: v.GetString("data-folder"),
		ControlVMs: list(v.GetStringSlice("control-vms")), LogLevel: v.GetString("log-level"),
		StopLimit: v.GetDuration("stop-limit"),
	})
}

// list splits values at commas, which an environment variable leaves joined.
func list(values []string) []string {
	return strings.FieldsFunc(strings.Join(values, ","), func(r rune) bool { return r == ',' || r == ' ' })
}

// checks collects the errors of all settings.
type checks struct{ errs []error }

func (c *checks) fail(setting string, value any, allowed string) {
	c.errs = append(c.errs, fmt.Errorf("--%s: got %q, want %s", setting, fmt.Sprint(value), allowed))
}

func (c *checks) id(setting, value string) string {
	valid := len(value) > 0 && len(value) <= zinniatide.MaxIDLength &&
		!strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' || r == '=' || r == ',' })
	if !valid {
		c.fail(setting, value, "1 to 128 printable ASCII characters without space, comma and equals sign")
	}
	return value
}

func (c *checks) address(setting, value string) string {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.fail(setting, value, "IP:port with a port from 1 to 65535")
	}
	return value
}

// Compile checks the settings as a whole.
func Compile(cfg Config) (*Settings, error) {
	var c checks
	s := &Settings{
		VM:          zinniatide.VMID(c.id("vm", cfg.VM)),
		Zone:        zinniatide.ZoneID(c.id("zone", cfg.Zone)),
		HTTPAddress: c.address("http-address", cfg.HTTPAddress),
		PeerAddress: c.address("peer-address", cfg.PeerAddress),
		DataFolder:  cfg.DataFolder,
		StopLimit:   cfg.StopLimit,
	}
	if cfg.MetricsAddress != "" {
		s.MetricsAddress = c.address("metrics-address", cfg.MetricsAddress)
	}
	c.roles(s, cfg.Roles)
	c.controlVMs(s, cfg.ControlVMs)
	c.dataFolder(s)
	if err := s.LogLevel.UnmarshalText([]byte(cfg.LogLevel)); err != nil {
		c.fail("log-level", cfg.LogLevel, "debug, info, warn or error")
	}
	if cfg.StopLimit < time.Second || cfg.StopLimit > 10*time.Minute {
		c.fail("stop-limit", cfg.StopLimit, "1s to 10m")
	}
	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}
	return s, nil
}

func (c *checks) roles(s *Settings, roles []string) {
	for _, role := range roles {
		switch role {
		case "entry":
			s.Entry = true
		case "control":
			s.Control = true
		default:
			c.fail("roles", role, "entry, control, or both")
		}
	}
	if len(roles) == 0 {
		c.fail("roles", "", "entry, control, or both")
	}
}

func (c *checks) controlVMs(s *Settings, values []string) {
	for _, value := range values {
		id, address, found := strings.Cut(value, "=")
		if !found {
			c.fail("control-vms", value, "ID=IP:PORT")
			continue
		}
		vm := zinniatide.ControlVM{VM: zinniatide.VMID(c.id("control-vms", id)), PeerAddress: c.address("control-vms", address)}
		if slices.ContainsFunc(s.ControlVMs, func(o zinniatide.ControlVM) bool { return o.VM == vm.VM }) {
			c.fail("control-vms", value, "each VM once")
		}
		s.ControlVMs = append(s.ControlVMs, vm)
	}
	if len(values) == 0 {
		c.fail("control-vms", "", "at least one ID=IP:PORT")
	}
}

func (c *checks) dataFolder(s *Settings) {
	if !s.Control {
		return
	}
	if info, err := os.Stat(s.DataFolder); err != nil || !info.IsDir() {
		c.fail("data-folder", s.DataFolder, "an existing folder, because the control role keeps durable state")
	}
}
