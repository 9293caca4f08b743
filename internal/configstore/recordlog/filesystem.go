package recordlog

import (
	"errors"
	"os"
)

// fileSystem performs the operations on directory entries, which determine what a power loss leaves
// behind. Tests substitute an implementation that records them.
type fileSystem interface {
	// List returns the names in a directory.
	List(dir string) ([]string, error)
	// Make creates a directory.
	Make(dir string) error
	// Rename renames a directory.
	Rename(from, to string) error
	// Remove deletes a file or an empty directory.
	Remove(path string) error
	// Sync makes the names in a directory durable.
	Sync(dir string) error
}

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

func (osFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

func (osFileSystem) Make(dir string) error { return os.Mkdir(dir, 0o700) }

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) Sync(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
