// Package api contains the descriptions of the release controller's interface: OpenAPI for requests and responses, AsyncAPI for
// the watch. The tests of internal/controller compare them with the running program: all responses and events must be
// described, and all that is described must occur.
package api

import _ "embed"

// OpenAPI is the description of requests and responses, in YAML.
//
//go:embed openapi.yaml
var OpenAPI []byte

// AsyncAPI is the description of the events of the watch, in YAML.
//
//go:embed asyncapi.yaml
var AsyncAPI []byte
