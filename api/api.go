// Package api has the descriptions of the release controller's interface: OpenAPI for requests and replies, AsyncAPI for the
// watch. The tests of internal/controller compare them with the running program: nothing occurs that is not described, and
// nothing is described that does not occur.
package api

import _ "embed"

// OpenAPI describes requests and replies, in YAML.
//
//go:embed openapi.yaml
var OpenAPI []byte

// AsyncAPI describes the events of the watch, in YAML.
//
//go:embed asyncapi.yaml
var AsyncAPI []byte
