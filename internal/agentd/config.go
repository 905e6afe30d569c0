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
	Name             string          `json:"name"`             // name of the host at the controller
	Dir              string          `json:"dir"`              // folder for files, state and the output of builds
	Controller       string          `json:"controller"`       // URL, or several separated by commas; after a failure the next one is used
	TLS              *tls.Config     `json:"-"`                // for connections to controllers, and for manifests, signatures and key rings from mirrors; may be nil for plain HTTP
	Source           artifact.Source `json:"source"`           // where manifests and files are fetched from
	MaxArtifactBytes int64           `json:"maxArtifactBytes"` // limit on the total size of the files of builds on disk
	MaxOutputBytes   int64           `json:"maxOutputBytes"`   // size to which the output of each build is trimmed
	KeyRing          *build.KeyRing  `json:"keyRing"`          // initial key ring; later versions are fetched from the mirrors
	Limits           agent.Limits    `json:"limits"`
	WarmUp           time.Duration   `json:"warmUp"`     // time from the start of a process until its build has warmed up
	DrainDelay       time.Duration   `json:"drainDelay"` // time after which an endpoint published as draining receives no new requests
	Env              []string        `json:"env"`        // environment of builds, added to that of the agent

	// AfterSave and BeforeSave are the journal's hooks for tests. FreePort returns a free TCP port; if it is nil, the
	// system chooses the port.
	AfterSave  func(n int)         `json:"-"`
	BeforeSave func(n int) error   `json:"-"`
	FreePort   func() (int, error) `json:"-"`
}
