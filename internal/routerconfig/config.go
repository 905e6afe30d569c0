// Package routerconfig reads and checks the configuration of a router process. docs/operate-router.md defines the sections
// and keys of its INI file.
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
	Name            string
	Listen          string
	EndpointCache   string        // the file that stores the last endpoint list; empty to disable the cache
	KillAfter       time.Duration // when the process may be killed at the earliest, counted from the shutdown signal
	MaxMessageBytes int           // limit of the total size of all messages in memory at one time
	Router          router.Config
	Downstream      downstream.Config
	Upstream        upstream.Config
	Discovery       Discovery
	ControlPlane    ControlPlane
	Records         *record.Config // nil if recording is disabled
	Gossip          *gossip.Config // nil if gossip is disabled
	HealthCheck     HealthCheck
}

// HealthCheck configures the health checks of hosts. It is used only if the router's limits allow health checks.
type HealthCheck struct {
	Path    string
	Timeout time.Duration
}

// Discovery configures where the endpoint list comes from.
type Discovery struct {
	Address     string   // of the xDS service
	Resources   []string // names of the endpoint resources
	Incremental bool     // whether to request changes instead of complete lists
}

// ControlPlane configures the connections to the release controllers.
type ControlPlane struct {
	URLs         []string
	Certificates certs.Files   // for connections to the controllers; empty for plain HTTP
	StatsWindow  time.Duration // the period that the controllers' statistics cover
}

// Read reads a router's configuration from a file. The error joins all mistakes in the file, each an inifile.SyntaxError.
// If there is an error, the configuration must not be used.
func Read(file string) (*Config, error) {
	f := inifile.Read(file)
	c := From(f)
	return c, f.Err()
}

// From reads a router's configuration from f. Mistakes are collected in f and returned by f.Err.
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
