package api

// Order is what the controller wants of a host's agent. Orders are numbered; an older one that arrives late is ignored.
type Order struct {
	Number            uint64 `json:"number"`
	Digest            string `json:"digest"` // of the build's manifest
	Build             int    `json:"build"`
	Goal              string `json:"goal"`              // stage, serve, release, take-back
	AllowOlder        bool   `json:"old,omitempty"`     // a build below the lowest that the agent takes is meant
	ReplacementDigest string `json:"to,omitempty"`      // with take-back of a released build: digest of what to run instead
	ReplacementBuild  int    `json:"toBuild,omitempty"` // and its build
}

// AgentReport is one transition of a build at a host, or a change of how its process is to be listed.
type AgentReport struct {
	Number        uint64 `json:"number"` // of the agent's reports, in order, from 1
	Build         int    `json:"build"`
	Digest        string `json:"digest"`
	From          string `json:"from,omitempty"`
	To            string `json:"to,omitempty"`
	Cause         string `json:"cause,omitempty"`
	AtMs          int64  `json:"atMs"`              // since the epoch
	EndpointState string `json:"listing,omitempty"` // serving, draining, gone
	Address       string `json:"address,omitempty"`
	StartedAtMs   int64  `json:"upMs,omitempty"` // when the process came up, since the epoch
}
