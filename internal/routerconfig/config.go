// Package routerconfig is the configuration of a router process. It is read from an INI file, whose sections and keys
// docs/operate-router.md defines, and checked as a whole.
package routerconfig

import (
	"time"

	"dapplefront/internal/certs"
	"dapplefront/internal/downstream"
	"dapplefront/internal/gossip"
	"dapplefront/internal/inifile"
	"dapplefront/internal/upstream"
	"dapplefront/record"
	"dapplefront/router"
)

// Config is the configuration of one router process.
type Config struct {
	Name          string
	Listen        string
	EndpointCache string        // the file that keeps the last endpoint list; empty for none
	DrainTimeout  time.Duration // how long requests in flight may take after a signal to shut down
	MaxBodyBytes  int           // of all bodies held at one time
	Router        router.Config
	Downstream    downstream.Config
	Upstream      upstream.Config
	Discovery     Discovery
	ControlPlane  ControlPlane
	Records       *record.Config // nil for none
	Gossip        *gossip.Config // nil for none
	HealthCheck   HealthCheck
}

// HealthCheck is how hosts are checked. It matters only where the router's limits allow health checks.
type HealthCheck struct {
	Path    string
	Timeout time.Duration
}

// Discovery is where the endpoint list is.
type Discovery struct {
	Address     string   // of the xDS service
	Resources   []string // names of the endpoint resources
	Incremental bool     // asks for changes in place of complete lists
}

// ControlPlane is where the release controllers are.
type ControlPlane struct {
	URLs         []string
	Certificates certs.Files   // for connections to them; empty for plain HTTP
	StatsWindow  time.Duration // the time that their statistics cover
}

// Read reads a router's configuration from a file. The error joins all mistakes, each an inifile.SyntaxError; the
// configuration is not to be used then.
func Read(file string) (*Config, error) {
	f := inifile.Read(file)
	c := From(f)
	return c, f.Err()
}

// From reads a router's configuration; mistakes are kept by the file.
func From(f *inifile.File) *Config {
	c := &Config{}
	c.readRouter(f.Section("router"))
	c.readClients(f.Section("clients"))
	c.readHosts(f.Section("hosts"))
	c.readDiscovery(f.Section("register"))
	c.readLimits(f.Section("rules"))
	c.readHealthCheck(f.Section("probes"))
	c.readGossip(f.Section("peers"))
	c.readRecords(f.Section("records"))
	c.readControlPlane(f.Section("desk"))
	c.readClasses(f)
	c.readTenants(f)
	return c
}
