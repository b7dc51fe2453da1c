// Package journal stores the replicated log of one VM in a data folder.
// Every acknowledged write is durable. Opening a journal truncates a write left
// incomplete by a crash and rejects any other corruption.
package journal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/replicator"
)

const (
	filePrefix = "log-"
	tempSuffix = ".tmp"
	lockName   = "lock"
)

// RecoveredState is the state that Open read from the data folder.
type RecoveredState struct {
	DiskID zinniatide.DiskID
	State  replicator.PersistentState
	// TruncatedBytes is the number of bytes of an incomplete write that were
	// truncated.
	TruncatedBytes int
}

// Journal is an open data folder. It is not safe for concurrent use.
type Journal struct {
	files    FileSystem
	dir      string
	identity identity
	lock     io.Closer
	file     File
	// generation is the number in the current file's name. Each Rewrite starts
	// the next generation.
	generation uint64
	// frameCount is the number of frames in the current file.
	frameCount uint64
	failure    error
}

// Create initializes an empty data folder with the given identity and state.
// It fails if the folder contains any other files.
func Create(files FileSystem, dir string, vm zinniatide.VMID, disk zinniatide.DiskID, state replicator.PersistentState) (err error) {
	j, names, err := lockDir(files, dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, j.Close()) }()
	for _, name := range names {
		if name != lockName && name != "lost+found" && !strings.HasSuffix(name, tempSuffix) {
			return fmt.Errorf("data folder %s is not empty: it contains %s", dir, name)
		}
	}
	j.identity = identity{formatVersion, vm, disk}
	return j.Rewrite(state)
}

// Open opens the data folder of vm. An empty folder is initialized with
// the identity newDisk. The folder stays locked until Close.
func Open(files FileSystem, dir string, vm zinniatide.VMID, newDisk zinniatide.DiskID) (*Journal, RecoveredState, error) {
	j, names, err := lockDir(files, dir)
	if err != nil {
		return nil, RecoveredState{}, err
	}
	c, err := j.load(names, vm, newDisk)
	if err != nil {
		return nil, RecoveredState{}, errors.Join(err, j.Close())
	}
	return j, c, nil
}

// lockDir creates the data folder if necessary, locks it and lists its files.
func lockDir(files FileSystem, dir string) (*Journal, []string, error) {
	if err := files.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := files.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, err
	}
	names, err := files.List(dir)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("list data folder: %w", err), lock.Close())
	}
	return &Journal{files: files, dir: dir, lock: lock}, names, nil
}

// load reads the newest journal file, truncates an incomplete write at its end
// and removes older files.
func (j *Journal) load(names []string, vm zinniatide.VMID, newDisk zinniatide.DiskID) (RecoveredState, error) {
	var logs []string
	for _, name := range names {
		if strings.HasPrefix(name, filePrefix) && !strings.HasSuffix(name, tempSuffix) {
			logs = append(logs, name)
		}
	}
	if len(logs) == 0 {
		j.identity = identity{formatVersion, vm, newDisk}
		return RecoveredState{DiskID: newDisk}, j.Rewrite(replicator.PersistentState{})
	}
	newest := logs[len(logs)-1]
	if _, err := fmt.Sscanf(newest, filePrefix+"%d", &j.generation); err != nil {
		return RecoveredState{}, fmt.Errorf("data folder %s contains a journal file with an invalid name: %s", j.dir, newest)
	}
	c, err := j.readFile(newest)
	if err != nil {
		return RecoveredState{}, err
	}
	if j.identity.VM != vm {
		return RecoveredState{}, fmt.Errorf("data folder %s belongs to VM %q, not to %q", j.dir, j.identity.VM, vm)
	}
	j.file, err = j.files.OpenAppend(filepath.Join(j.dir, newest))
	if err != nil {
		return RecoveredState{}, fmt.Errorf("open journal: %w", err)
	}
	return c, j.removeOtherFiles(newest)
}

func (j *Journal) readFile(name string) (RecoveredState, error) {
	path := filepath.Join(j.dir, name)
	data, err := j.files.ReadFile(path)
	if err != nil {
		return RecoveredState{}, fmt.Errorf("read journal: %w", err)
	}
	var c RecoveredState
	for offset := 0; offset < len(data); {
		payload, err := decodeFrame(data, offset, j.frameCount)
		if err == nil {
			err = j.replay(payload, &c.State)
		}
		if errors.Is(err, errTornWrite) && offset > 0 && !hasLaterFrame(data, offset) {
			c.TruncatedBytes = len(data) - offset
			if err := j.files.Truncate(path, int64(offset)); err != nil {
				return RecoveredState{}, fmt.Errorf("truncate the incomplete write at the end of %s: %w", path, err)
			}
			break
		}
		if err != nil {
			return RecoveredState{}, fmt.Errorf("journal %s is damaged at byte %d of %d: %w; "+
				"replace the data folder with an empty one, and the VM rejoins as a new voter", path, offset, len(data), err)
		}
		offset += headerSize + len(payload)
		j.frameCount++
	}
	if j.frameCount == 0 {
		return RecoveredState{}, fmt.Errorf("journal %s is empty", path)
	}
	c.DiskID = j.identity.DiskID
	return c, nil
}

// replay applies one encoded record to s.
func (j *Journal) replay(payload []byte, s *replicator.PersistentState) error {
	var r record
	if err := recordDecMode.Unmarshal(payload, &r); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if (r.Identity != nil) != (j.frameCount == 0) {
		return errors.New("the identity is missing from the first record or repeated in a later one")
	}
	if r.Identity != nil {
		if r.Identity.Format != formatVersion {
			return fmt.Errorf("unknown format version %d", r.Identity.Format)
		}
		j.identity = *r.Identity
		s.Snapshot = r.Snapshot
	}
	if r.HardState != nil {
		s.HardState = *r.HardState
	}
	return appendEntries(s, r.Entries)
}

// appendEntries appends entries to s. An entry whose index already exists
// replaces that entry and all later ones.
func appendEntries(s *replicator.PersistentState, entries []replicator.Entry) error {
	for _, e := range entries {
		if len(s.Entries) == 0 {
			if s.Snapshot == nil && e.Index != 1 || s.Snapshot != nil && e.Index > s.Snapshot.Index+1 {
				return fmt.Errorf("the log starts at entry %d, leaving a gap before it", e.Index)
			}
			s.Entries = append(s.Entries, e)
			continue
		}
		first := s.Entries[0].Index
		if e.Index < first || e.Index > first+uint64(len(s.Entries)) {
			return fmt.Errorf("entry %d neither extends nor replaces the log of entries %d to %d", e.Index, first, first+uint64(len(s.Entries))-1)
		}
		s.Entries = append(s.Entries[:e.Index-first], e)
	}
	return nil
}

// Append writes a change and syncs it. The change is durable when Append
// returns nil. After an error, every later call fails until Recover, because it
// is unknown which bytes reached the disk.
func (j *Journal) Append(hard *replicator.HardState, entries []replicator.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	frame, err := encodeFrame(j.frameCount, record{HardState: hard, Entries: entries})
	if err == nil {
		_, err = j.file.Write(frame)
	}
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		return j.fail("append to journal", err)
	}
	j.frameCount++
	return nil
}

// Rewrite replaces the contents of the journal with state, using a new file.
// If writing the new file fails, the old file stays in place and every later
// call fails until Recover.
func (j *Journal) Rewrite(state replicator.PersistentState) error {
	if j.failure != nil {
		return j.failure
	}
	frame, err := encodeFrame(0, record{Identity: &j.identity, HardState: &state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	if err != nil {
		return j.fail("encode journal", err)
	}
	name := fmt.Sprintf("%s%020d", filePrefix, j.generation+1)
	path := filepath.Join(j.dir, name)
	file, err := j.files.Create(path + tempSuffix)
	if err != nil {
		return j.fail("create journal", err)
	}
	if _, err = file.Write(frame); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = j.files.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = j.files.SyncDir(j.dir)
	}
	if err != nil {
		return errors.Join(j.fail("write journal", err), file.Close())
	}
	if j.file != nil {
		_ = j.file.Close() // the new file holds all of its contents
	}
	j.file, j.frameCount = file, 1
	j.generation++
	return j.removeOtherFiles(name)
}

// Recover clears a write failure and replaces the contents of the journal with
// state. State must include everything ever passed to Append or Rewrite, so that
// it does not matter which bytes of the failed write reached the disk.
func (j *Journal) Recover(state replicator.PersistentState) error {
	j.failure = nil
	return j.Rewrite(state)
}

// removeOtherFiles removes all journal files except keep, including temporary
// ones. It leaves files that do not belong to the journal.
func (j *Journal) removeOtherFiles(keep string) error {
	names, err := j.files.List(j.dir)
	if err != nil {
		return j.fail("list data folder", err)
	}
	names = slices.DeleteFunc(names, func(n string) bool { return n == keep || !strings.HasPrefix(n, filePrefix) })
	for _, name := range names {
		if err := j.files.Remove(filepath.Join(j.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return j.fail("remove old journal", err)
		}
	}
	return nil
}

// fail records err so that every later write fails with it.
func (j *Journal) fail(step string, err error) error {
	j.failure = zinniatide.WrapStep(err, step, j.dir)
	return j.failure
}

// Close closes the journal file and releases the lock on the data folder.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	if j.failure == nil {
		j.failure = errors.New("the journal is closed")
	}
	return errors.Join(err, j.lock.Close())
}
