// Package atomicfile writes files atomically: it writes a temporary file in the same directory, syncs it and renames it.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Write replaces the content of file and sets its mode. After an error the file is unchanged. After a crash of the machine
// the file may have the old content, but never a part of the new content.
func Write(file string, content []byte, mode os.FileMode) error {
	temporary, err := writeTemporary(file, content, mode)
	if err == nil {
		err = os.Rename(temporary, file)
	}
	if err != nil && temporary != "" {
		_ = os.Remove(temporary) // the caller gets the first error
	}
	return err
}

// writeTemporary writes a temporary file in the directory of file and syncs it. It returns the name of the temporary file
// even after an error, if the file was created.
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
