// Package atomicfile writes files whole or not at all: under a temporary name in the same directory, synced, then renamed.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Write replaces the content of file and sets its mode. After an error the file is unchanged. A crash of the machine may
// leave the former content, never a part of the new one.
func Write(file string, content []byte, mode os.FileMode) error {
	temporary, err := writeTemporary(file, content, mode)
	if err == nil {
		err = os.Rename(temporary, file)
	}
	if err != nil && temporary != "" {
		_ = os.Remove(temporary) // the first error counts
	}
	return err
}

// writeTemporary writes a file beside the given one and syncs it. It returns the name of what it created, after an error
// too.
func writeTemporary(file string, content []byte, mode os.FileMode) (name string, err error) {
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return "", err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if _, err := f.Write(content); err != nil {
		return f.Name(), err
	}
	if err := f.Chmod(mode); err != nil {
		return f.Name(), err
	}
	return f.Name(), f.Sync()
}
