package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem is the part of a file system that the journal needs. Errors for
// absent files satisfy errors.Is(err, fs.ErrNotExist).
type FileSystem interface {
	// MakeFolder creates a folder and its missing parents durably.
	MakeFolder(path string) error
	// Names lists the files of a folder, sorted.
	Names(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file for writing, replacing an old one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder(folder string) error
	// Lock takes an exclusive lock that ends with the process, or fails when
	// another process holds it.
	Lock(path string) (io.Closer, error)
}

// File is an open file. Written bytes are durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the FileSystem of the operating system.
type Disk struct{}

// MakeFolder implements FileSystem.
func (d Disk) MakeFolder(path string) error {
	if info, err := os.Stat(path); err == nil {
		if !info.IsDir() {
			return fmt.Errorf("%s is not a folder", path)
		}
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := d.MakeFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o750); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return d.SyncFolder(parent)
}

// Names implements FileSystem.
func (Disk) Names(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// ReadFile implements FileSystem.
func (Disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
}

// OpenAppend implements FileSystem.
func (Disk) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

// Truncate implements FileSystem. The new size is durable on return.
func (Disk) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	if err = f.Truncate(size); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename implements FileSystem.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncFolder implements FileSystem.
func (Disk) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FileSystem.
func (Disk) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("the data folder is in use by another process (lock %s: %w)", path, err)
	}
	return f, nil
}
