package scenario

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"aead.dev/minisign"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/agentd"
	"dapplefront/internal/api"
	"dapplefront/internal/artifact"
	"dapplefront/internal/testbed"
)

// buildGroup is the group that builds and their signing keys belong to.
const buildGroup = "day"

// newKeyRing creates three keys for signing builds. A build needs the signatures of two of them.
func (f *agentFleet) newKeyRing() (*build.KeyRing, error) {
	ring := &build.KeyRing{Format: 1, Version: 1, Threshold: 2, Group: buildGroup}
	for _, name := range []string{"ada", "ben", "cyd"} {
		public, private, err := minisign.GenerateKey(rand.Reader)
		if err != nil {
			return nil, err
		}
		text, err := public.MarshalText()
		if err != nil {
			return nil, err
		}
		f.signingKeys = append(f.signingKeys, private)
		ring.Keys = append(ring.Keys, build.Key{Name: name, PublicKey: string(text), NotBefore: time.Now().Add(-time.Hour),
			NotAfter: time.Now().Add(24 * time.Hour)})
	}
	return ring, nil
}

// startAgents starts an agent on each machine, orders build 1, and waits until all machines serve it and their slow start
// has ended.
func (f *agentFleet) startAgents(keyRing *build.KeyRing) error {
	for i := range f.machines { // both lists must be complete before the first agent reports
		f.names, f.deployed = append(f.names, fmt.Sprintf("h%d", i+1)), append(f.deployed, map[int]bool{1: true})
	}
	for i, name := range f.names {
		a, err := f.startAgent(name, f.machines[i], keyRing)
		if err != nil {
			return fmt.Errorf("start agent %s: %w", name, err)
		}
		f.agents = append(f.agents, a)
		f.reports.sendOrder(name, api.Order{Digest: f.digests[1], Build: 1, Goal: "release"})
	}
	for _, name := range f.names {
		if f.reports.await(f.run.controllers.ctx, name, 0, f.digests[1], orderTimeout, string(agent.Serving)) == "" {
			return fmt.Errorf("agent %s does not serve build 1: %+v", name, f.reports.list(name))
		}
	}
	return nil
}

func (f *agentFleet) startAgent(name string, machine testbed.Machine, keyRing *build.KeyRing) (*agentd.Agent, error) {
	encodedMachine, err := json.Marshal(machine)
	if err != nil {
		return nil, err
	}
	clientTLS, err := f.run.issuer.clientTLS(name)
	if err != nil {
		return nil, err
	}
	return agentd.Start(agentd.Config{
		Name:             name,
		TLS:              clientTLS,
		Dir:              filepath.Join(f.run.dir, name),
		Controller:       f.run.controllers.urls(),
		Source:           artifact.Source{Mirrors: []string{f.mirror.URL()}, MaxAttempts: 3, Backoff: 50 * time.Millisecond, IdleTimeout: 2 * time.Second},
		MaxArtifactBytes: 64 << 20,
		MaxOutputBytes:   64 << 10,
		KeyRing:          keyRing,
		WarmUp:           f.run.params.slowStart,
		DrainDelay:       f.run.params.drainDelay,
		Env:              []string{testbed.MachineVariable + "=" + string(encodedMachine)},
		Limits:           agent.Limits{MaxCrashes: 3, CrashBackoff: 200 * time.Millisecond, MaxCrashBackoff: 2 * time.Second, CrashResetAfter: 10 * time.Second},
	}, f.log)
}

// publishBuild packs a build, signs it and puts it on the mirror. A build of kind bad-signed gets only one signature. For a
// build of kind bad-bytes, the mirror gets a corrupted copy of each file.
func (f *agentFleet) publishBuild(b testbed.Build, kind string) error {
	folder, err := os.MkdirTemp(f.run.dir, "build-")
	if err != nil {
		return err
	}
	if err := testbed.WriteBuild(folder, b, classesByName(), f.observer.Address()); err != nil {
		return err
	}
	manifest := &build.Manifest{Format: 1, Name: "stand-in", Group: buildGroup, Version: b.Number, Start: []string{"run.sh"}}
	manifest.Ready.Path, manifest.Ready.Within, manifest.Drain.Within = "/ready", build.Duration(10*time.Second), build.Duration(2*time.Second)
	out := filepath.Join(f.run.dir, "mirror")
	digest, err := artifact.Pack(folder, out, manifest)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(filepath.Join(out, "manifest", digest))
	if err != nil {
		return err
	}
	signatures := [][]byte{minisign.Sign(f.signingKeys[0], raw), minisign.Sign(f.signingKeys[1], raw)}
	if kind == "bad-signed" {
		signatures = signatures[:1]
	}
	f.mirror.Put("/manifest/"+digest, raw)
	f.mirror.PutSignatures(digest, signatures...)
	for _, file := range manifest.Files {
		body, err := os.ReadFile(filepath.Join(out, "sha256", file.SHA256))
		if err != nil {
			return err
		}
		if kind == "bad-bytes" {
			body[len(body)/2] ^= 1
		}
		f.mirror.Put("/sha256/"+file.SHA256, body)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digests[b.Number], f.builds[digest] = digest, b.Number
	return nil
}
