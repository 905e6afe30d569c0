// Package atomicfile writes files whole or not at all: under a temporary name beside the place, synced, then renamed.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Write puts raw in the place of file, with a mode. After an error the file is as it was.
func Write(file string, raw []byte, mode os.FileMode) error {
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(raw)
	if err == nil {
		err = tmp.Chmod(mode)
	}
	if err == nil {
		err = tmp.Sync()
	}
	if err2 := tmp.Close(); err == nil {
		err = err2
	}
	if err == nil {
		err = os.Rename(tmp.Name(), file)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
	}
	return err
}
