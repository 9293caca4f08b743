package recordlog

import (
	"errors"
	"os"
)

// folders are the steps on names, which decide what a loss of power leaves. Tests put one here
// that notes them.
type folders interface {
	// List names what is in a folder.
	List(dir string) ([]string, error)
	Make(dir string) error
	Rename(from, to string) error
	// Remove takes away a file, or an empty folder.
	Remove(path string) error
	// Sync makes a folder's names last.
	Sync(dir string) error
}

type osFolders struct{}

func (osFolders) List(dir string) ([]string, error) {
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

func (osFolders) Make(dir string) error { return os.Mkdir(dir, 0o700) }

func (osFolders) Rename(from, to string) error { return os.Rename(from, to) }

func (osFolders) Remove(path string) error { return os.Remove(path) }

func (osFolders) Sync(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
