// Package journaltest provides an in-memory journal.FileSystem for fault
// injection: it loses unsynced data in a crash and fails on demand.
package journaltest

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"zinniatide.example/zinniatide/journal"
)

// ErrInjected is returned by syncs while FailSyncs is set.
var ErrInjected = errors.New("injected fault")

const sectorSize = 512

// inode holds the contents of one file.
type inode struct {
	data   []byte
	synced int // leading bytes that survive a crash
}

// FaultyFileSystem is an in-memory file system. It is not safe for concurrent
// use.
type FaultyFileSystem struct {
	inodes  map[string]*inode         // by path, as seen by running code
	durable map[string]*inode         // by path, as it survives a crash
	pending []func(map[string]*inode) // name changes missing from durable
	locks   map[string]bool
	crashes int // invalidates file handles and locks of earlier runs

	// FailSyncs makes every sync fail without making anything durable.
	FailSyncs bool
	// Capacity is the total size in bytes of all files; 0 means unlimited.
	Capacity int
	// Syncs counts successful file syncs.
	Syncs int
}

// NewFaultyFileSystem returns an empty file system.
func NewFaultyFileSystem() *FaultyFileSystem {
	return &FaultyFileSystem{inodes: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}}
}

// Crash discards unsynced bytes and name changes. A random part of them
// survives, possibly with the last sector zeroed.
func (d *FaultyFileSystem) Crash(random *rand.Rand) {
	d.crashes++
	d.locks = map[string]bool{}
	for _, change := range d.pending[:random.IntN(len(d.pending)+1)] {
		change(d.durable)
	}
	d.pending = nil
	d.inodes = map[string]*inode{}
	for _, path := range d.sortedPaths(d.durable) {
		n := d.durable[path]
		d.inodes[path] = n
		keep := n.synced + random.IntN(len(n.data)-n.synced+1)
		n.data = n.data[:keep]
		if keep > n.synced && random.IntN(2) == 0 {
			// The new size reached the disk, but the last sector's data did not.
			clear(n.data[max(n.synced, (keep-1)/sectorSize*sectorSize):])
		}
		n.synced = keep
	}
}

// Damage flips one bit of the byte at offset.
func (d *FaultyFileSystem) Damage(path string, offset int) { d.inodes[path].data[offset] ^= 1 }

// Used returns the total size of all files.
func (d *FaultyFileSystem) Used() int {
	used := 0
	for _, n := range d.inodes {
		used += len(n.data)
	}
	return used
}

// Size returns the size of a file.
func (d *FaultyFileSystem) Size(path string) int { return len(d.inodes[path].data) }

func (d *FaultyFileSystem) sortedPaths(inodes map[string]*inode) []string {
	var paths []string
	for path := range inodes {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

// changeNames applies f now and, after the next SyncDir, to the durable names.
func (d *FaultyFileSystem) changeNames(f func(map[string]*inode)) {
	f(d.inodes)
	d.pending = append(d.pending, f)
}

// MkdirAll implements journal.FileSystem. It does nothing, because directories
// exist implicitly.
func (d *FaultyFileSystem) MkdirAll(string) error { return nil }

// List implements journal.FileSystem.
func (d *FaultyFileSystem) List(dir string) ([]string, error) {
	var names []string
	for _, path := range d.sortedPaths(d.inodes) {
		if name, ok := strings.CutPrefix(path, dir+"/"); ok {
			names = append(names, name)
		}
	}
	return names, nil
}

func (d *FaultyFileSystem) find(path string) (*inode, error) {
	n, ok := d.inodes[path]
	if !ok {
		return nil, fmt.Errorf("%s: %w", path, fs.ErrNotExist)
	}
	return n, nil
}

// ReadFile implements journal.FileSystem.
func (d *FaultyFileSystem) ReadFile(path string) ([]byte, error) {
	n, err := d.find(path)
	if err != nil {
		return nil, err
	}
	return slices.Clone(n.data), nil
}

// Create implements journal.FileSystem.
func (d *FaultyFileSystem) Create(path string) (journal.File, error) {
	n := &inode{}
	d.changeNames(func(inodes map[string]*inode) { inodes[path] = n })
	return &file{disk: d, inode: n, crashes: d.crashes}, nil
}

// OpenAppend implements journal.FileSystem.
func (d *FaultyFileSystem) OpenAppend(path string) (journal.File, error) {
	n, err := d.find(path)
	if err != nil {
		return nil, err
	}
	return &file{disk: d, inode: n, crashes: d.crashes}, nil
}

// Truncate implements journal.FileSystem.
func (d *FaultyFileSystem) Truncate(path string, size int64) error {
	n, err := d.find(path)
	if err != nil {
		return err
	}
	n.data = n.data[:size]
	n.synced = min(n.synced, int(size))
	return nil
}

// Rename implements journal.FileSystem.
func (d *FaultyFileSystem) Rename(from, to string) error {
	n, err := d.find(from)
	if err != nil {
		return err
	}
	d.changeNames(func(inodes map[string]*inode) {
		delete(inodes, from)
		inodes[to] = n
	})
	return nil
}

// Remove implements journal.FileSystem.
func (d *FaultyFileSystem) Remove(path string) error {
	if _, err := d.find(path); err != nil {
		return err
	}
	d.changeNames(func(inodes map[string]*inode) { delete(inodes, path) })
	return nil
}

// SyncDir implements journal.FileSystem.
func (d *FaultyFileSystem) SyncDir(string) error {
	if d.FailSyncs {
		return ErrInjected
	}
	for _, change := range d.pending {
		change(d.durable)
	}
	d.pending = nil
	return nil
}

// Lock implements journal.FileSystem.
func (d *FaultyFileSystem) Lock(path string) (io.Closer, error) {
	if d.locks[path] {
		return nil, fmt.Errorf("%s is in use", filepath.Dir(path))
	}
	d.locks[path] = true
	return &lock{d, path, d.crashes}, nil
}

type lock struct {
	disk    *FaultyFileSystem
	path    string
	crashes int // FaultyFileSystem.crashes when the lock was taken
}

func (l *lock) Close() error {
	if l.crashes == l.disk.crashes {
		delete(l.disk.locks, l.path)
	}
	return nil
}

type file struct {
	disk    *FaultyFileSystem
	inode   *inode
	crashes int // FaultyFileSystem.crashes when the file was opened
}

func (f *file) Write(p []byte) (int, error) {
	if f.crashes != f.disk.crashes {
		return 0, fs.ErrClosed
	}
	if f.disk.Capacity > 0 {
		if free := f.disk.Capacity - f.disk.Used(); free < len(p) {
			f.inode.data = append(f.inode.data, p[:max(free, 0)]...)
			return max(free, 0), syscall.ENOSPC
		}
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	if f.crashes != f.disk.crashes {
		return fs.ErrClosed
	}
	if f.disk.FailSyncs {
		return ErrInjected
	}
	f.inode.synced = len(f.inode.data)
	f.disk.Syncs++
	return nil
}

func (f *file) Close() error { return nil }
