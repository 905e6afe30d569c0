package api

// Order is an order of the controller to a host's agent. Orders are numbered; an agent ignores an order that arrives after a
// newer one.
type Order struct {
	Number            uint64 `json:"number"`
	Digest            string `json:"digest"` // digest of the build's manifest
	Build             int    `json:"build"`
	Goal              string `json:"goal"`              // stage, serve, release, take-back
	AllowOlder        bool   `json:"old,omitempty"`     // allows a build below the key ring's minimum version
	ReplacementDigest string `json:"to,omitempty"`      // if a released build is taken back: digest of the build to run instead
	ReplacementBuild  int    `json:"toBuild,omitempty"` // number of that build
}

// AgentReport reports one transition of a build at a host, or a change of the endpoint state of its process.
type AgentReport struct {
	Number        uint64 `json:"number"` // consecutive for each agent, from 1
	Build         int    `json:"build"`
	Digest        string `json:"digest"`
	From          string `json:"from,omitempty"`
	To            string `json:"to,omitempty"`
	Cause         string `json:"cause,omitempty"`
	AtMs          int64  `json:"atMs"`              // since the Unix epoch
	EndpointState string `json:"listing,omitempty"` // serving, draining, gone
	Address       string `json:"address,omitempty"`
	StartedAtMs   int64  `json:"upMs,omitempty"` // start of the process, since the Unix epoch
}
