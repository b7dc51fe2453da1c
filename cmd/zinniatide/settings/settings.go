// Package settings reads and validates the settings of a zinniatide process.
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

// EnvironmentPrefix is the prefix of the environment variable of a flag:
// --http-address can be set by ZINNIATIDE_HTTP_ADDRESS.
const EnvironmentPrefix = "ZINNIATIDE"

// RawSettings holds the settings before validation.
type RawSettings struct {
	VM             string
	Zone           string
	Roles          []string
	HTTPAddress    string
	PeerAddress    string
	MetricsAddress string
	DataFolder     string
	ControlVMs     []string
	LogLevel       string
	StopTimeout    time.Duration
}

// Settings holds the validated settings.
type Settings struct {
	VM             zinniatide.VMID
	Zone           zinniatide.ZoneID
	Entry          bool
	Control        bool
	HTTPAddress    string
	PeerAddress    string
	MetricsAddress string // empty to serve no metrics
	DataFolder     string
	ControlVMs     []zinniatide.ControlVM
	LogLevel       slog.Level
	StopTimeout    time.Duration
}

// AddFlags registers a flag for every setting of the run command.
func AddFlags(flags *pflag.FlagSet) {
	flags.String("vm", "", "ID of this VM, unique in the system")
	flags.String("zone", "", "availability zone of this VM")
	flags.StringSlice("roles", []string{"entry"}, "roles of this process: entry, control, or both")
	flags.String("http-address", "", "IP:port for callers, backend servers and operators")
	flags.String("peer-address", "", "IP:port for the other VMs of the system")
	flags.String("metrics-address", "", "IP:port to serve /metrics on; empty to disable")
	flags.String("data-folder", "", "folder for durable state; required for the control role")
	flags.StringSlice("control-vms", nil, "comma-separated control VMs, each as ID=IP:PEER-PORT")
	flags.String("log-level", "info", "minimum log level: debug, info, warn or error")
	flags.Duration("stop-limit", 30*time.Second, "time limit of a graceful shutdown, 1s to 10m")
}

// AddInitFlags registers the flags of the init command.
func AddInitFlags(flags *pflag.FlagSet) {
	flags.String("vm", "", "ID of this VM, unique in the system")
	flags.String("data-folder", "", "folder for durable state")
	flags.StringSlice("control-vms", nil, "comma-separated control VMs, each as ID=IP:PEER-PORT")
}

// LoadInit reads and validates the settings of the init command.
func LoadInit(flags *pflag.FlagSet) (*Settings, error) {
	values, err := newViper(flags)
	if err != nil {
		return nil, err
	}
	var v validator
	s := &Settings{VM: zinniatide.VMID(v.id("vm", values.GetString("vm"))), Control: true, DataFolder: values.GetString("data-folder")}
	v.controlVMs(s, splitList(values.GetStringSlice("control-vms")))
	v.dataFolder(s)
	return s, errors.Join(v.errs...)
}

func newViper(flags *pflag.FlagSet) (*viper.Viper, error) {
	v := viper.New()
	v.SetEnvPrefix(EnvironmentPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return v, zinniatide.WrapStep(v.BindPFlags(flags), "read settings", "flags")
}

// Load reads the settings from flags, falling back to environment variables
// for flags that are not set, and validates them. The error lists every invalid
// setting.
func Load(flags *pflag.FlagSet) (*Settings, error) {
	values, err := newViper(flags)
	if err != nil {
		return nil, err
	}
	return Validate(RawSettings{
		VM: values.GetString("vm"), Zone: values.GetString("zone"), Roles: splitList(values.GetStringSlice("roles")),
		HTTPAddress: values.GetString("http-address"), PeerAddress: values.GetString("peer-address"),
		MetricsAddress: values.GetString("metrics-address"), DataFolder: values.GetString("data-folder"),
		ControlVMs: splitList(values.GetStringSlice("control-vms")), LogLevel: values.GetString("log-level"),
		StopTimeout: values.GetDuration("stop-limit"),
	})
}

// splitList splits values at commas and spaces: viper doesn't split the commas
// of an environment variable.
func splitList(values []string) []string {
	return strings.FieldsFunc(strings.Join(values, ","), func(r rune) bool { return r == ',' || r == ' ' })
}

// validator accumulates the errors of all settings.
type validator struct{ errs []error }

func (v *validator) fail(setting string, value any, allowed string) {
	v.errs = append(v.errs, fmt.Errorf("--%s: got %q, want %s", setting, fmt.Sprint(value), allowed))
}

func (v *validator) id(setting, value string) string {
	valid := len(value) > 0 && len(value) <= zinniatide.MaxIDLength &&
		!strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' || r == '=' || r == ',' })
	if !valid {
		v.fail(setting, value, "1 to 128 printable ASCII characters without spaces, commas or equals signs")
	}
	return value
}

func (v *validator) address(setting, value string) string {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		v.fail(setting, value, "IP:port with a port from 1 to 65535")
	}
	return value
}

// Validate checks all settings and returns one error that lists every invalid
// one.
func Validate(raw RawSettings) (*Settings, error) {
	var v validator
	s := &Settings{
		VM:          zinniatide.VMID(v.id("vm", raw.VM)),
		Zone:        zinniatide.ZoneID(v.id("zone", raw.Zone)),
		HTTPAddress: v.address("http-address", raw.HTTPAddress),
		PeerAddress: v.address("peer-address", raw.PeerAddress),
		DataFolder:  raw.DataFolder,
		StopTimeout: raw.StopTimeout,
	}
	if raw.MetricsAddress != "" {
		s.MetricsAddress = v.address("metrics-address", raw.MetricsAddress)
	}
	v.roles(s, raw.Roles)
	v.controlVMs(s, raw.ControlVMs)
	v.dataFolder(s)
	if err := s.LogLevel.UnmarshalText([]byte(raw.LogLevel)); err != nil {
		v.fail("log-level", raw.LogLevel, "debug, info, warn or error")
	}
	if raw.StopTimeout < time.Second || raw.StopTimeout > 10*time.Minute {
		v.fail("stop-limit", raw.StopTimeout, "1s to 10m")
	}
	if len(v.errs) > 0 {
		return nil, errors.Join(v.errs...)
	}
	return s, nil
}

func (v *validator) roles(s *Settings, roles []string) {
	for _, role := range roles {
		switch role {
		case "entry":
			s.Entry = true
		case "control":
			s.Control = true
		default:
			v.fail("roles", role, "entry, control, or both")
		}
	}
	if len(roles) == 0 {
		v.fail("roles", "", "entry, control, or both")
	}
}

func (v *validator) controlVMs(s *Settings, values []string) {
	for _, value := range values {
		id, address, found := strings.Cut(value, "=")
		if !found {
			v.fail("control-vms", value, "ID=IP:PORT")
			continue
		}
		vm := zinniatide.ControlVM{VM: zinniatide.VMID(v.id("control-vms", id)), PeerAddress: v.address("control-vms", address)}
		if slices.ContainsFunc(s.ControlVMs, func(o zinniatide.ControlVM) bool { return o.VM == vm.VM }) {
			v.fail("control-vms", value, "each VM once")
		}
		s.ControlVMs = append(s.ControlVMs, vm)
	}
	if len(values) == 0 {
		v.fail("control-vms", "", "at least one ID=IP:PORT")
	}
}

func (v *validator) dataFolder(s *Settings) {
	if !s.Control {
		return
	}
	if info, err := os.Stat(s.DataFolder); err != nil || !info.IsDir() {
		v.fail("data-folder", s.DataFolder, "an existing folder, because the control role keeps durable state")
	}
}
