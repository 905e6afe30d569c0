package eds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"dapplefront/internal/atomicfile"
	"dapplefront/policy"
	"dapplefront/router"
)

// cacheFile is the file of a last list.
type cacheFile struct {
	Format int          `json:"format"`
	Hosts  []storedHost `json:"hosts"`
}

// storedHost is a Host as the file has it. Its JSON names are those of the first version of the format and never
// change, whatever the fields of Host are called.
type storedHost struct {
	ID       uint32               `json:"ID"`
	Location string               `json:"Location"`
	Cell     int                  `json:"Cell"`
	Standing policy.EndpointState `json:"Standing"`
	Build    int                  `json:"Build"`
	Size     float64              `json:"Size"`
	Up       policy.Time          `json:"Up"`
	Address  string               `json:"Address"`
}

func toStoredHost(h Host) storedHost {
	return storedHost{
		ID: h.ID, Location: h.Zone, Cell: h.Cell, Standing: h.State, Build: h.Build, Size: h.Weight, Up: h.StartedAt,
		Address: h.Address,
	}
}

func (s storedHost) host() Host {
	return Host{
		Host: router.Host{
			ID: s.ID, Zone: s.Location, Cell: s.Cell, State: s.Standing, Build: s.Build, Weight: s.Size, StartedAt: s.Up,
		},
		Address: s.Address,
	}
}

const cacheFormat = 1

// SaveCache writes the last list to a file, whole or not at all.
func SaveCache(file string, hosts []Host) error {
	stored := make([]storedHost, 0, len(hosts))
	for _, h := range hosts {
		stored = append(stored, toStoredHost(h))
	}
	text, err := json.MarshalIndent(cacheFile{cacheFormat, stored}, "", " ")
	if err != nil {
		return err
	}
	return atomicfile.Write(file, text, 0o600)
}

// LoadCache reads what Keep wrote. No file is no list and no error.
func LoadCache(file string) ([]Host, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("last list %s: %w", file, err)
	}
	hosts, err := decodeCache(text)
	if err != nil {
		return nil, fmt.Errorf("last list %s: %w", file, err)
	}
	return hosts, nil
}

// decodeCache reads a file's text. A format or a field that this version doesn't know is an error.
func decodeCache(text []byte) ([]Host, error) {
	var version struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(text, &version); err != nil {
		return nil, err
	}
	if version.Format != cacheFormat {
		return nil, fmt.Errorf("format %d expected, not %d", cacheFormat, version.Format)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var stored cacheFile
	if err := decoder.Decode(&stored); err != nil {
		return nil, err
	}
	hosts := make([]Host, 0, len(stored.Hosts))
	for _, h := range stored.Hosts {
		hosts = append(hosts, h.host())
	}
	return hosts, nil
}
