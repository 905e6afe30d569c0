// Package api defines the JSON types of the release controller's REST interface and watch, which routers, agents, operators and
// the controllers themselves use. JSON names never change. Times are in milliseconds, shares are numbers from 0 to 1.
//
//	GET  /v1/releases                          a page of releases, the newest last
//	GET  /v1/releases/{build}                  one release
//	GET  /v1/watch?router=NAME                 server-sent events: news, counts, complaint, plan; resumed after Last-Event-ID
//	PUT  /v1/releases/{build}/votes/{router}   a vote; 200 if accepted, 409 if stale, 429 if there are too many votes
//	POST /v1/complaints                        a complaint of a client about a wrong response
//	GET  /v1/plans/{version}/for/{location}    a plan for the routers of a zone; 404 if the version is no longer in force
//	PUT  /v1/plans/{version}/routers/{router}  a PlanAck: the router follows the plan, or rejects it for a reason
//	GET  /v1/agents/{name}/orders              server-sent events: order; resumed after Last-Event-ID
//	POST /v1/agents/{name}/reports             AgentReports of the builds at an agent's host, in order
//
// The complete interface is described in api/openapi.yaml and api/asyncapi.yaml.
package api
