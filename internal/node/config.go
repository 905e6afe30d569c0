package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"dapplefront/internal/discovery"
	"dapplefront/internal/platform"
	"dapplefront/internal/platformsettings"
	"dapplefront/internal/routerconfig"
	"dapplefront/policy"
)

// Smallest limits under which a router can serve.
const (
	minMemoryMB = 24
	minSockets  = 64
)

// File is the platform's configuration file: the object that the operators' protocol page calls the configuration. The
// page defines its JSON names.
type File struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // up to 16 hexadecimal digits
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Platform struct {
		Address       string                 `json:"address"`
		ReleaseStatus platform.ReleaseStatus `json:"news"`
	} `json:"platform"`
	Endpoints discovery.EndpointList `json:"known"` // the endpoint list at the time when the file was written
	Settings  json.RawMessage        `json:"settings"`
}

// Config is a checked configuration file and the values that the router derives from it.
type Config struct {
	File
	Router   *routerconfig.Config
	Release  policy.ReleaseStatus // status of the newest build when the file was written
	memory   memoryPlan
	settings platformsettings.Settings
	values   platformsettings.Values // the settings by path, for comparing two files
}

// Read reads and checks a configuration file. If the file leaves out name, listen or discovery, the value comes from the
// environment variable EDGE_NAME, EDGE_LISTEN or EDGE_DISCOVERY. An error names the file and the invalid field.
func Read(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

func parse(text []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(text, &c.File); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("byte %d: %w", syntax.Offset, err)
		}
		return nil, err
	}
	c.applyEnvironment()
	if err := c.checkIdentity(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: must be up to 16 hexadecimal digits, got %q", c.Seed)
	}
	if l := c.Limits; l.Cores <= 0 || l.MemoryMB < minMemoryMB || l.Sockets < minSockets {
		return nil, fmt.Errorf("limits: cores must be above 0, memory_mb at least %d and sockets at least %d", minMemoryMB, minSockets)
	}
	if c.Release, err = c.Platform.ReleaseStatus.Status(); err != nil {
		return nil, fmt.Errorf("platform.news: %w", err)
	}
	if err := c.Endpoints.Check(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if err := c.readSettings(seed); err != nil {
		return nil, err
	}
	c.memory = planMemory(c.Limits.MemoryMB*mib, mappedFiles())
	c.Router = c.routerConfig()
	return c, nil
}

// applyEnvironment fills in missing fields that the environment may provide.
func (c *Config) applyEnvironment() {
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen, "EDGE_DISCOVERY": &c.Discovery} {
		if *field == "" {
			*field = os.Getenv(name)
		}
	}
}

// checkIdentity checks the name and the addresses. Only the listen address may have port 0.
func (c *Config) checkIdentity() error {
	if c.Name == "" {
		return errors.New("name is missing")
	}
	for _, a := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"platform.address", c.Platform.Address}} {
		if address, err := netip.ParseAddrPort(a.value); err != nil || address.Port() == 0 && a.field != "listen" {
			return fmt.Errorf("%s: must be a numeric IP address with a port, got %q", a.field, a.value)
		}
	}
	return nil
}

func (c *Config) readSettings(seed uint64) error {
	var err error
	if c.values, err = platformsettings.Flatten(c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := platformsettings.Check(c.values); err != nil {
		return fmt.Errorf("settings.%s", strings.ReplaceAll(err.Error(), "\n", "; settings."))
	}
	c.settings = platformsettings.Read(c.values, seed)
	// The platform's protocol has no messages between routers, no health checks and no sampled statistics, even where
	// the settings allow them. They are turned off so that the policy does not wait for data that never arrives.
	r := &c.settings.Router
	r.Limits.MaxGossipBytes, r.Limits.HealthChecks, r.Release.SampledShare = 0, false, 0
	return nil
}

// fixedSettings lists the path suffixes of the settings that a running router can't change.
var fixedSettings = []string{"MyZone", ".count", ".Name", ".Semantics", ".DedupScope", ".WindowUs", ".DeadlineUs", "Report.Fields",
	"Permissions.ConnIdleUs", "Permissions.ConnectTimeoutUs", "Extra.CallTimeoutUs"}

// checkChange returns an error that names all fields that differ in next but can't change in a running router. It returns
// nil if next can be applied.
func (c *Config) checkChange(next *Config) error {
	var fields []string
	if c.Name != next.Name {
		fields = append(fields, "name")
	}
	if c.Listen != next.Listen {
		fields = append(fields, "listen")
	}
	if c.Limits != next.Limits {
		fields = append(fields, "limits")
	}
	paths := maps.Clone(c.values)
	maps.Copy(paths, next.values)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if c.values[path] != next.values[path] && isFixedSetting(path) {
			fields = append(fields, "settings."+path)
		}
	}
	if len(fields) > 0 {
		return fmt.Errorf("%s: can't change in a running router", strings.Join(fields, ", "))
	}
	return nil
}

func isFixedSetting(path string) bool {
	return slices.ContainsFunc(fixedSettings, func(suffix string) bool { return strings.HasSuffix(path, suffix) })
}
