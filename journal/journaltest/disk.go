// Package journaltest provides a journal.FileSystem in memory that loses
// unsynced data in a crash and fails on demand.
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

// ErrInjected is returned by calls that were told to fail.
var ErrInjected = errors.New("injected fault")

const sectorBytes = 512

type node struct {
	data   []byte
	synced int // bytes that survive a crash
}

// Disk is an in-memory file system. It is not safe for concurrent use.
type Disk struct {
	names   map[string]*node
	pending []func(map[string]*node) // name changes not yet synced
	durable map[string]*node
	locks   map[string]bool
	epoch   int // counts crashes; older handles are dead

	// FailSyncs makes every sync fail, and lose what it should have synced.
	FailSyncs bool
	// Capacity is the number of bytes that all files may hold; zero is no limit.
	Capacity int
	// Syncs counts successful file syncs.
	Syncs int
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{names: map[string]*node{}, durable: map[string]*node{}, locks: map[string]bool{}}
}

// Crash loses unsynced bytes and name changes. What of them survives, and in
// which state, depends on random.
func (d *Disk) Crash(random *rand.Rand) {
	d.epoch++
	d.locks = map[string]bool{}
	for _, change := range d.pending[:random.IntN(len(d.pending)+1)] {
		change(d.durable)
	}
	d.pending = nil
	d.names = map[string]*node{}
	for _, path := range d.sorted(d.durable) {
		n := d.durable[path]
		d.names[path] = n
		keep := n.synced + random.IntN(len(n.data)-n.synced+1)
		n.data = n.data[:keep]
		if keep > n.synced && random.IntN(2) == 0 {
			// The size reached the disk, but not the last sector's content.
			clear(n.data[max(n.synced, (keep-1)/sectorBytes*sectorBytes):])
		}
		n.synced = keep
	}
}

// Damage flips a bit of the file.
func (d *Disk) Damage(path string, offset int) { d.names[path].data[offset] ^= 1 }

// Size returns the size of a file.
func (d *Disk) Size(path string) int { return len(d.names[path].data) }

func (d *Disk) sorted(names map[string]*node) []string {
	var paths []string
	for path := range names {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

func (d *Disk) change(f func(map[string]*node)) {
	f(d.names)
	d.pending = append(d.pending, f)
}

// MakeFolder implements journal.FileSystem; folders need not be created.
func (d *Disk) MakeFolder(string) error { return nil }

// Names implements journal.FileSystem.
func (d *Disk) Names(folder string) ([]string, error) {
	var names []string
	for _, path := range d.sorted(d.names) {
		if name, ok := strings.CutPrefix(path, folder+"/"); ok {
			names = append(names, name)
		}
	}
	return names, nil
}

func (d *Disk) find(path string) (*node, error) {
	n, ok := d.names[path]
	if !ok {
		return nil, fmt.Errorf("%s: %w", path, fs.ErrNotExist)
	}
	return n, nil
}

// ReadFile implements journal.FileSystem.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	n, err := d.find(path)
	if err != nil {
		return nil, err
	}
	return slices.Clone(n.data), nil
}

// Create implements journal.FileSystem.
func (d *Disk) Create(path string) (journal.File, error) {
	n := &node{}
	d.change(func(names map[string]*node) { names[path] = n })
	return &file{disk: d, node: n, epoch: d.epoch}, nil
}

// OpenAppend implements journal.FileSystem.
func (d *Disk) OpenAppend(path string) (journal.File, error) {
	n, err := d.find(path)
	if err != nil {
		return nil, err
	}
	return &file{disk: d, node: n, epoch: d.epoch}, nil
}

// Truncate implements journal.FileSystem.
func (d *Disk) Truncate(path string, size int64) error {
	n, err := d.find(path)
	if err != nil {
		return err
	}
	n.data = n.data[:size]
	n.synced = min(n.synced, int(size))
	return nil
}

// Rename implements journal.FileSystem.
func (d *Disk) Rename(from, to string) error {
	n, err := d.find(from)
	if err != nil {
		return err
	}
	d.change(func(names map[string]*node) {
		delete(names, from)
		names[to] = n
	})
	return nil
}

// Remove implements journal.FileSystem.
func (d *Disk) Remove(path string) error {
	if _, err := d.find(path); err != nil {
		return err
	}
	d.change(func(names map[string]*node) { delete(names, path) })
	return nil
}

// SyncFolder implements journal.FileSystem.
func (d *Disk) SyncFolder(string) error {
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
func (d *Disk) Lock(path string) (io.Closer, error) {
	if d.locks[path] {
		return nil, fmt.Errorf("%s is in use", filepath.Dir(path))
	}
	d.locks[path] = true
	return &lock{d, path, d.epoch}, nil
}

type lock struct {
	disk  *Disk
	path  string
	epoch int
}

func (l *lock) Close() error {
	if l.epoch == l.disk.epoch {
		delete(l.disk.locks, l.path)
	}
	return nil
}

type file struct {
	disk  *Disk
	node  *node
	epoch int
}

func (f *file) Write(p []byte) (int, error) {
	if f.epoch != f.disk.epoch {
		return 0, fs.ErrClosed
	}
	if f.disk.Capacity > 0 {
		used := 0
		for _, n := range f.disk.names {
			used += len(n.data)
		}
		if room := f.disk.Capacity - used; room < len(p) {
			f.node.data = append(f.node.data, p[:max(room, 0)]...)
			return max(room, 0), syscall.ENOSPC
		}
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	if f.epoch != f.disk.epoch {
		return fs.ErrClosed
	}
	if f.disk.FailSyncs {
		return ErrInjected
	}
	f.node.synced = len(f.node.data)
	f.disk.Syncs++
	return nil
}

func (f *file) Close() error { return nil }
