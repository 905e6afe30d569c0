package agentd

import (
	"crypto/tls"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/artifact"
)

// Config is an agent's configuration.
type Config struct {
	Name             string          `json:"name"`             // of the host, as the controller knows it
	Dir              string          `json:"dir"`              // for files, state and builds' output
	Controller       string          `json:"controller"`       // URL, or several with commas between them; after a failure the next is used
	TLS              *tls.Config     `json:"-"`                // towards controllers; nil for plain HTTP
	Source           artifact.Source `json:"source"`           // of manifests and files
	MaxArtifactBytes int64           `json:"maxArtifactBytes"` // of builds' files on disk
	MaxOutputBytes   int64           `json:"maxOutputBytes"`   // of each build's output that are kept
	KeyRing          *build.KeyRing  `json:"keyRing"`          // the initial one; later ones are found on the mirrors
	Limits           agent.Limits    `json:"limits"`
	WarmUp           time.Duration   `json:"warmUp"`     // from a process's start
	DrainDelay       time.Duration   `json:"drainDelay"` // after which an endpoint published as draining gets no new requests
	Env              []string        `json:"env"`        // of builds, beside the agent's own

	// AfterSave and BeforeSave are the journal's hooks for tests. FreePort returns a free port; nil for one that the
	// system chooses.
	AfterSave  func(n int)         `json:"-"`
	BeforeSave func(n int) error   `json:"-"`
	FreePort   func() (int, error) `json:"-"`
}
