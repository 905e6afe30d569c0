package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"dapplefront/internal/atomicfile"
	"dapplefront/policy"
	"dapplefront/router"
)

const (
	cacheFormat = 1
	cacheMode   = 0o600
)

// cacheFile is the content of the endpoint cache.
type cacheFile struct {
	Format int          `json:"format"`
	Hosts  []storedHost `json:"hosts"`
}

// storedHost is the stored form of a Host. Its JSON names are those of the first version of the format. They never change,
// even if the fields of Host are renamed.
type storedHost struct {
	ID        uint32               `json:"ID"`
	Zone      string               `json:"Location"`
	Cell      int                  `json:"Cell"`
	State     policy.EndpointState `json:"Standing"`
	Build     int                  `json:"Build"`
	Weight    float64              `json:"Size"`
	StartedAt policy.Time          `json:"Up"`
	Address   string               `json:"Address"`
}

func toStoredHost(h Host) storedHost {
	return storedHost{
		ID: h.ID, Zone: h.Zone, Cell: h.Cell, State: h.State, Build: h.Build, Weight: h.Weight, StartedAt: h.StartedAt,
		Address: h.Address,
	}
}

func (s storedHost) host() Host {
	return Host{
		Host: router.Host{
			ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: s.State, Build: s.Build, Weight: s.Weight, StartedAt: s.StartedAt,
		},
		Address: s.Address,
	}
}

// SaveCache writes the endpoint list to a file atomically.
func SaveCache(file string, hosts []Host) error {
	stored := make([]storedHost, 0, len(hosts))
	for _, h := range hosts {
		stored = append(stored, toStoredHost(h))
	}
	text, err := json.MarshalIndent(cacheFile{cacheFormat, stored}, "", " ")
	if err != nil {
		return err
	}
	return atomicfile.Write(file, text, cacheMode)
}

// LoadCache reads a file that SaveCache wrote. If the file does not exist, it returns neither hosts nor an error. An error
// names the file.
func LoadCache(file string) ([]Host, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("endpoint cache %s: %w", file, err)
	}
	hosts, err := decodeCache(text)
	if err != nil {
		return nil, fmt.Errorf("endpoint cache %s: %w", file, err)
	}
	return hosts, nil
}

// decodeCache decodes the content of a cache file. A format or a field that this version doesn't know is an error.
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
