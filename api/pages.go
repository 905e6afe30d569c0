package api

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Page renders both descriptions as one document in Markdown (docs/interface.md).
func Page() (string, error) {
	var p page
	if err := yaml.Unmarshal(OpenAPI, &p.openAPI); err != nil {
		return "", fmt.Errorf("openapi.yaml: %w", err)
	}
	if err := yaml.Unmarshal(AsyncAPI, &p.asyncAPI); err != nil {
		return "", fmt.Errorf("asyncapi.yaml: %w", err)
	}
	p.printf("# The release controller's interface\n\nGenerated from `api/openapi.yaml` and `api/asyncapi.yaml` by `go run ./api/pages`; a test\n"+
		"compares both with the running program.\n\n%s\n\n", text(p.openAPI, "info", "description"))
	p.writeRequests()
	p.writeEvents()
	p.writeObjects()
	return p.out.String(), nil
}

// node is a YAML mapping in a description.
type node = map[string]any

// page holds the parsed descriptions and the document written so far.
type page struct {
	openAPI, asyncAPI node
	out               strings.Builder
}

func (p *page) printf(format string, values ...any) { fmt.Fprintf(&p.out, format, values...) }

func (p *page) writeRequests() {
	p.printf("## Requests\n\n")
	paths := subtree(p.openAPI, "paths")
	for _, path := range sortedKeys(paths) {
		for _, method := range []string{"get", "post", "put", "patch", "delete"} {
			if operation := subtree(paths, path, method); operation != nil {
				p.writeOperation(method, path, operation)
			}
		}
	}
}

func (p *page) writeOperation(method, path string, operation node) {
	p.printf("### %s %s\n\n", strings.ToUpper(method), path)
	if summary := text(operation, "summary"); summary != "" {
		p.printf("%s.\n\n", summary)
	}
	if parameters, ok := operation["parameters"].([]any); ok {
		for _, parameter := range parameters {
			m := p.resolve(parameter)
			p.printf("- `%s` (%s) %s\n", m["name"], m["in"], text(m, "description"))
		}
		p.printf("\n")
	}
	if ref := text(operation, "requestBody", "content", "application/json", "schema", "$ref"); ref != "" {
		p.printf("Body: %s\n\n", link(ref))
	}
	p.printf("| status | |\n| --- | --- |\n")
	responses := subtree(operation, "responses")
	for _, status := range sortedKeys(responses) {
		response := p.resolve(responses[status])
		line := text(response, "description")
		for _, contentType := range sortedKeys(subtree(response, "content")) {
			if ref := text(response, "content", contentType, "schema", "$ref"); ref != "" {
				line += ": " + link(ref)
			}
		}
		p.printf("| %s | %s |\n", status, line)
	}
	p.printf("\n")
}

func (p *page) writeEvents() {
	p.printf("## Events of the watch\n\n%s\n\n| event | | data |\n| --- | --- | --- |\n", text(p.asyncAPI, "info", "description"))
	messages := subtree(p.asyncAPI, "components", "messages")
	for _, name := range sortedKeys(messages) {
		p.printf("| %s | %s | %s |\n", name, text(messages, name, "summary"), link(text(messages, name, "payload", "$ref")))
	}
}

func (p *page) writeObjects() {
	p.printf("\n## Objects\n")
	schemas := subtree(p.openAPI, "components", "schemas")
	for _, name := range sortedKeys(schemas) {
		p.printf("\n### %s\n\n", name)
		schema := subtree(schemas, name)
		if properties := subtree(schema, "properties"); properties != nil {
			p.writeFields(schema, properties)
		} else {
			p.printf("%s\n", describeType(schema))
		}
	}
}

func (p *page) writeFields(schema, properties node) {
	required, _ := schema["required"].([]any)
	p.printf("| field | | |\n| --- | --- | --- |\n")
	for _, field := range sortedKeys(properties) {
		presence := ""
		if slices.Contains(required, any(field)) {
			presence = "always"
		}
		p.printf("| %s | %s | %s |\n", field, describeType(subtree(properties, field)), presence)
	}
}

// resolve resolves a reference within the OpenAPI description, and returns other mappings as they are.
func (p *page) resolve(x any) node {
	m, _ := x.(node)
	if ref, ok := m["$ref"].(string); ok {
		return subtree(p.openAPI, strings.Split(strings.TrimPrefix(ref, "#/"), "/")...)
	}
	return m
}

// subtree returns the mapping at a path, or nil if there is none.
func subtree(of node, path ...string) node {
	for _, name := range path {
		of, _ = of[name].(node)
	}
	return of
}

// text returns the string at a path, or "" if there is none.
func text(of node, path ...string) string {
	parent, name := path[:len(path)-1], path[len(path)-1]
	s, _ := subtree(of, parent...)[name].(string)
	return s
}

func sortedKeys(of node) []string { return slices.Sorted(maps.Keys(of)) }

// link converts a reference to a schema into a link to the schema's heading in the document.
func link(ref string) string {
	name := ref[strings.LastIndex(ref, "/")+1:]
	return fmt.Sprintf("[%s](#%s)", name, strings.ToLower(name))
}

// describeType returns a short description of the values that a schema allows.
func describeType(schema node) string {
	if ref := text(schema, "$ref"); ref != "" {
		return link(ref)
	}
	out := fmt.Sprint(schema["type"])
	if values, ok := schema["enum"].([]any); ok {
		names := make([]string, len(values))
		for i, value := range values {
			names[i] = fmt.Sprint(value)
		}
		out = strings.Join(names, ", ")
	}
	if items, ok := schema["items"].(node); ok {
		out = "list of " + describeType(items)
	}
	if values, ok := schema["additionalProperties"].(node); ok {
		out = "map of " + describeType(values)
	}
	if least, ok := schema["minimum"]; ok {
		out += fmt.Sprintf(", from %v", least)
	}
	if most, ok := schema["maximum"]; ok {
		out += fmt.Sprintf(" to %v", most)
	}
	return out
}
