package main

import (
	"slices"

	"go4.org/netipx"

	"dapplefront/control"
	"dapplefront/internal/certs"
	"dapplefront/internal/controller"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/inifile"
	"dapplefront/policy"
	"dapplefront/release"
)

// controllerConfig is a release controller's configuration.
type controllerConfig struct {
	node         controller.NodeConfig
	server       controller.ServerConfig
	certificates certs.Files
	peers        []string // common names of the other controllers' certificates
	grants       []controller.Grant
}

// openControllerConfig reads a controller's settings from a file. The error lists all mistakes with their lines.
func openControllerConfig(name string) (controllerConfig, error) {
	file := inifile.Read(name)
	config := readControllerConfig(file)
	return config, file.Err()
}

// readControllerConfig reads a controller's settings. Mistakes in them are returned by file.Err.
func readControllerConfig(file *inifile.File) controllerConfig {
	var config controllerConfig
	config.readNode(file.Section("controller"))
	config.readReleases(file.Section("releases"))
	config.readCertificates(file.Section("tls"))
	config.readGrants(file)
	return config
}

func (config *controllerConfig) readNode(s inifile.Section) {
	config.node = controller.NodeConfig{
		Name:          s.Text("name", "!"),
		Dir:           s.Text("store", "!"),
		Listen:        s.Address("peers", "127.0.0.1:7400"),
		Bootstrap:     s.Bool("first", "off"),
		FastElections: s.Bool("near", "on"),
		InitialBuild:  s.Int("build", "1", 1, 65535),
	}
	config.server = controller.ServerConfig{
		Listen:           s.Address("listen", "127.0.0.1:7300"),
		URL:              s.Text("url", ""),
		VotesPerSecond:   s.Float("votes-a-second", "30", 0.1, 1e6),
		MaxWatchers:      s.Int("watchers", "5000", 1, 1<<20),
		BookmarkInterval: s.Duration("bookmark", "2s"),
		WriteTimeout:     s.Duration("slow", "5s"),
	}
}

func (config *controllerConfig) readReleases(s inifile.Section) {
	modes := map[string]policy.PromotionMode{"any": policy.AnyRouter, "share": policy.Quorum, "clock": policy.Timed}
	rules := release.Rules{
		Mode:           modes[s.OneOf("control", "share", "share", "any", "clock")],
		MinStageTime:   eventloop.FromDuration(s.Duration("least-time", "2s")),
		StageTime:      eventloop.FromDuration(s.Duration("clock-time", "10s")),
		VoteTTL:        eventloop.FromDuration(s.Duration("vote-life", "10s")),
		PromoteQuorum:  s.Int("to-move-on", "1", 1, 100_000),
		RollbackQuorum: s.Int("to-abort", "1", 1, 100_000),
		HoldQuorum:     s.Int("to-hold", "0", 0, 100_000),
	}
	shares, caps := s.Shares("shares", "3%, 12%, 40%, 100%"), s.Shares("caps", "4%, 15%, 50%, 100%")
	if len(shares) != len(caps) {
		s.AddError("caps", "caps: as many values as in shares expected: %d, not %d", len(shares), len(caps))
	}
	for i := range min(len(shares), len(caps)) {
		rules.Stages = append(rules.Stages, release.Stage{HostShare: shares[i], ExposureCap: caps[i]})
	}
	config.node.Control = control.Config{
		Rules:           rules,
		PromoteShare:    s.Share("on-share", "0%"),
		RollbackShare:   s.Share("back-share", "0%"),
		RouterTimeout:   eventloop.FromDuration(s.Duration("absent", "30s")),
		MaxEvents:       s.Int("events", "4096", 100, 1<<20),
		MaxCreationKeys: s.Int("keys", "1000", 10, 1<<20),
	}
}

func (config *controllerConfig) readCertificates(s inifile.Section) {
	config.certificates = certs.Files{
		Certificate: s.Text("certificate", ""),
		Key:         s.Text("key", ""),
		Authority:   s.Text("authority", ""),
	}
	if f := config.certificates; s.Has() && (f.Certificate == "" || f.Key == "" || f.Authority == "") {
		s.AddError("", "certificate, key and authority expected")
	}
	config.peers = s.List("controllers", "")
}

// readGrants reads the grants, which define which callers have which roles.
func (config *controllerConfig) readGrants(file *inifile.File) {
	sections, names := file.Sections("grant")
	for i, s := range sections {
		grant := controller.Grant{CommonNames: s.List("names", ""), Networks: readNetworks(s)}
		for _, role := range s.List("roles", "!") {
			if !slices.Contains(controller.Roles, controller.Role(role)) {
				s.AddError("roles", "roles = %s: some of %v expected", role, controller.Roles)
			}
			grant.Roles = append(grant.Roles, controller.Role(role))
		}
		if len(grant.CommonNames) > 0 && !file.Section("tls").Has() {
			s.AddError("names", "[grant %s] requires certificates, but there is no section [tls]", names[i])
		}
		config.grants = append(config.grants, grant)
	}
}

// readNetworks reads the networks of a grant. It returns nil if the grant is not limited to networks.
func readNetworks(s inifile.Section) *netipx.IPSet {
	prefixes := s.Networks("networks", "")
	if len(prefixes) == 0 {
		return nil
	}
	var builder netipx.IPSetBuilder
	for _, p := range prefixes {
		builder.AddPrefix(p)
	}
	set, err := builder.IPSet()
	if err != nil {
		s.AddError("networks", "networks: %v", err)
	}
	return set
}

// secure applies the certificates and grants to the configuration of the node and the server.
func (config *controllerConfig) secure() error {
	if config.certificates == (certs.Files{}) && len(config.grants) == 0 {
		return nil
	}
	config.server.Authorizer = &controller.Authorizer{Grants: config.grants, Peers: config.peers}
	if config.certificates == (certs.Files{}) {
		return nil
	}
	reloader, err := certs.Open(config.certificates)
	if err != nil {
		return err
	}
	config.server.Authorizer.ServerTLS, config.server.Authorizer.ClientTLS = reloader.Server(), reloader.Client()
	config.node.StreamLayer = controller.TLSStreamLayer(reloader, config.peers)
	return nil
}
