// Package api is the JSON of the release controller's REST interface and watch, as routers, agents, people and the
// controllers themselves use it. JSON names never change. Times are in milliseconds, shares are numbers from 0 to 1.
//
//	GET  /v1/releases                          all releases, the newest last
//	GET  /v1/releases/{build}                  one
//	GET  /v1/watch?router=NAME                 server-sent events: news, counts, complaint, plan; resumed by Last-Event-ID
//	PUT  /v1/releases/{build}/votes/{router}   a vote; 200 accepted, 409 stale, 429 too many
//	POST /v1/complaints                        a client found an answer wrong
//	GET  /v1/plans/{version}/for/{location}    a plan for the routers of a zone; 404 for one that isn't in force any more
//	PUT  /v1/plans/{version}/routers/{router}  a PlanAck: followed, or rejected with the reason
//	GET  /v1/agents/{name}/orders              server-sent events: order; resumed by Last-Event-ID
//	POST /v1/agents/{name}/reports             transitions of the builds at an agent's host, in order
//
// The whole interface is described in api/openapi.yaml and api/asyncapi.yaml.
package api
