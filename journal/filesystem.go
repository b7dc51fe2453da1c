package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem is the set of file operations the journal needs. Errors for
// missing files satisfy errors.Is(err, fs.ErrNotExist).
type FileSystem interface {
	// MkdirAll creates a directory and its missing parents durably.
	MkdirAll(path string) error
	// List returns the names of a directory's entries, sorted.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file for writing, truncating an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes file creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock that is released when the process ends. It
	// fails if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is an open file. Written bytes are durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// MkdirAll implements FileSystem.
func (d OSFileSystem) MkdirAll(path string) error {
	if info, err := os.Stat(path); err == nil {
		if !info.IsDir() {
			return fmt.Errorf("%s is not a directory", path)
		}
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := d.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o750); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return d.SyncDir(parent)
}

// List implements FileSystem.
func (OSFileSystem) List(dir string) ([]string, error) {
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

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
}

// OpenAppend implements FileSystem.
func (OSFileSystem) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

// Truncate implements FileSystem. The new size is durable when it returns.
func (OSFileSystem) Truncate(path string, size int64) error {
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
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FileSystem.
func (OSFileSystem) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FileSystem.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
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
