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

// readAgentConfig reads an agent's settings; mistakes are kept by the file.
func readAgentConfig(file *inifile.File) agentd.Post {
	s := file.Section("agent")
	config := agentd.Post{
		Name:       s.Text("name", "!"),
		Dir:        s.Text("folder", "!"),
		Controller: s.Text("controller", "!"),
		Disk:       int64(s.Bytes("disk", "8GiB")),
		Log:        int64(s.Bytes("output", "1MiB")),
		Cold:       s.Duration("cold", "5s"),
		Drain:      s.Duration("drain", "5s"),
		Rules: agent.Rules{
			Crashes: s.Int("crashes", "5", 0, 1000),
			Pause:   s.Duration("pause", "200ms"),
			Longest: s.Duration("longest-pause", "10s"),
			Steady:  s.Duration("steady", "60s"),
		},
	}
	config.Source = readArtifactSource(file.Section("fetch"))
	config.Secure = readAgentCertificates(file.Section("tls"))
	config.Ring = readKeyRing(file.Section("trust"))
	return config
}

func readArtifactSource(s inifile.Section) artifact.Source {
	source := artifact.Source{
		Mirrors: s.List("mirrors", "!"),
		Tries:   s.Int("tries", "8", 1, 1000),
		Pause:   s.Duration("pause", "200ms"),
		Silence: s.Duration("silence", "10s"),
	}
	if s.Text("rate", "none") != "none" {
		source.Rate = s.Bytes("rate", "1MiB")
	}
	return source
}

// readAgentCertificates opens the certificates towards controllers and mirrors; nil where the section is missing.
func readAgentCertificates(s inifile.Section) *tls.Config {
	if !s.Has() {
		return nil
	}
	ring, err := certs.Open(certs.Files{
		Certificate: s.Text("certificate", "!"),
		Key:         s.Text("key", "!"),
		Authority:   s.Text("authority", "!"),
	})
	if err != nil {
		s.AddError("certificate", "%v", err)
		return nil
	}
	return ring.Client()
}

// readKeyRing reads the keys that builds must be signed with.
func readKeyRing(s inifile.Section) *build.Ring {
	name := s.Text("ring", "!")
	if name == "" {
		return nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		s.AddError("ring", "%v", err)
		return nil
	}
	ring, err := build.ReadRing(raw)
	if err != nil {
		s.AddError("ring", "%v", err)
		return nil
	}
	return ring
}
