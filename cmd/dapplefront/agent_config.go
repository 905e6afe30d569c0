package main

import (
	"crypto/tls"
	"os"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/agentd"
	"dapplefront/internal/artifact"
	"dapplefront/internal/certs"
	"dapplefront/internal/inifile"
)

// readAgentConfig reads an agent's settings. Mistakes in them are returned by file.Err.
func readAgentConfig(file *inifile.File) agentd.Config {
	s := file.Section("agent")
	config := agentd.Config{
		Name:             s.Text("name", "!"),
		Dir:              s.Text("folder", "!"),
		Controller:       s.Text("controller", "!"),
		MaxArtifactBytes: int64(s.Bytes("disk", "8GiB")),
		MaxOutputBytes:   int64(s.Bytes("output", "1MiB")),
		WarmUp:           s.Duration("cold", "5s"),
		DrainDelay:       s.Duration("drain", "5s"),
		Limits: agent.Limits{
			MaxCrashes:      s.Int("crashes", "5", 0, 1000),
			CrashBackoff:    s.Duration("pause", "200ms"),
			MaxCrashBackoff: s.Duration("longest-pause", "10s"),
			CrashResetAfter: s.Duration("steady", "60s"),
		},
	}
	config.Source = readArtifactSource(file.Section("fetch"))
	config.TLS = readAgentCertificates(file.Section("tls"))
	config.KeyRing = readKeyRing(file.Section("trust"))
	return config
}

func readArtifactSource(s inifile.Section) artifact.Source {
	source := artifact.Source{
		Mirrors:     s.List("mirrors", "!"),
		MaxAttempts: s.Int("tries", "8", 1, 1000),
		Backoff:     s.Duration("pause", "200ms"),
		IdleTimeout: s.Duration("silence", "10s"),
	}
	if s.Text("rate", "none") != "none" {
		source.MaxBytesPerSecond = s.Bytes("rate", "1MiB")
	}
	return source
}

// readAgentCertificates returns the TLS configuration for connections to controllers and mirrors, or nil if the section is
// missing.
func readAgentCertificates(s inifile.Section) *tls.Config {
	if !s.Has() {
		return nil
	}
	reloader, err := certs.Open(certs.Files{
		Certificate: s.Text("certificate", "!"),
		Key:         s.Text("key", "!"),
		Authority:   s.Text("authority", "!"),
	})
	if err != nil {
		s.AddError("certificate", "%v", err)
		return nil
	}
	return reloader.Client()
}

// readKeyRing reads the key ring by whose keys builds must be signed.
func readKeyRing(s inifile.Section) *build.KeyRing {
	name := s.Text("ring", "!")
	if name == "" {
		return nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		s.AddError("ring", "%v", err)
		return nil
	}
	ring, err := build.ReadKeyRing(raw)
	if err != nil {
		s.AddError("ring", "%v", err)
		return nil
	}
	return ring
}
