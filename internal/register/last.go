package register

import (
	"encoding/json"
	"fmt"
	"os"

	"dapplefront/internal/whole"
)

// kept is the file of a last list.
type kept struct {
	Format int    `json:"format"`
	Hosts  []Host `json:"hosts"`
}

const format = 1

// Keep writes the last list to a file, whole or not at all.
func Keep(file string, hosts []Host) error {
	text, err := json.MarshalIndent(kept{format, hosts}, "", " ")
	if err != nil {
		return err
	}
	return whole.Write(file, text, 0o600)
}

// Last reads what Keep wrote. No file is no list and no error.
func Last(file string) ([]Host, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	var k kept
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err == nil && k.Format != format {
		err = fmt.Errorf("format %d expected, not %d", format, k.Format)
	}
	if err != nil {
		return nil, fmt.Errorf("last list %s: %w", file, err)
	}
	return k.Hosts, nil
}
