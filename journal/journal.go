// Package journal stores the replicated log of one VM in a data folder. What
// it acknowledges is durable; what a crash left incomplete is cut off at the
// next start, and any other damage is refused.
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

// Contents is what Open found.
type Contents struct {
	Disk  zinniatide.DiskID
	State replicator.State
	// Truncated is the size of the incomplete write that was cut off.
	Truncated int
}

// Journal is an open data folder. It is used by one goroutine at a time.
type Journal struct {
	files      FileSystem
	folder     string
	identity   identity
	lock       io.Closer
	file       File
	generation uint64
	frames     uint64
	failure    error
}

// Create initialises an empty data folder with the given identity and state.
// It refuses a folder that holds anything.
func Create(files FileSystem, folder string, vm zinniatide.VMID, disk zinniatide.DiskID, state replicator.State) (err error) {
	j, names, err := prepare(files, folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, j.Close()) }()
	for _, name := range names {
		if name != lockName && name != "lost+found" && !strings.HasSuffix(name, tempSuffix) {
			return fmt.Errorf("data folder %s is not empty: it holds %s", folder, name)
		}
	}
	j.identity = identity{formatVersion, vm, disk}
	return j.Rewrite(state)
}

// Open opens the data folder of vm, and gives it the identity newDisk if it
// is empty. The folder stays locked until Close.
func Open(files FileSystem, folder string, vm zinniatide.VMID, newDisk zinniatide.DiskID) (*Journal, Contents, error) {
	j, names, err := prepare(files, folder)
	if err != nil {
		return nil, Contents{}, err
	}
	c, err := j.load(names, vm, newDisk)
	if err != nil {
		return nil, Contents{}, errors.Join(err, j.Close())
	}
	return j, c, nil
}

func prepare(files FileSystem, folder string) (*Journal, []string, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := files.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, nil, err
	}
	names, err := files.Names(folder)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("list data folder: %w", err), lock.Close())
	}
	return &Journal{files: files, folder: folder, lock: lock}, names, nil
}

// load reads the newest file, cuts off a torn tail and removes older files.
func (j *Journal) load(names []string, vm zinniatide.VMID, newDisk zinniatide.DiskID) (Contents, error) {
	var logs []string
	for _, name := range names {
		if strings.HasPrefix(name, filePrefix) && !strings.HasSuffix(name, tempSuffix) {
			logs = append(logs, name)
		}
	}
	if len(logs) == 0 {
		j.identity = identity{formatVersion, vm, newDisk}
		return Contents{Disk: newDisk}, j.Rewrite(replicator.State{})
	}
	newest := logs[len(logs)-1]
	if _, err := fmt.Sscanf(newest, filePrefix+"%d", &j.generation); err != nil {
		return Contents{}, fmt.Errorf("data folder %s holds the unknown file %s", j.folder, newest)
	}
	c, err := j.read(newest)
	if err != nil {
		return Contents{}, err
	}
	if j.identity.VM != vm {
		return Contents{}, fmt.Errorf("data folder %s belongs to VM %q, not to %q", j.folder, j.identity.VM, vm)
	}
	j.file, err = j.files.OpenAppend(filepath.Join(j.folder, newest))
	if err != nil {
		return Contents{}, fmt.Errorf("open journal: %w", err)
	}
	return c, j.removeAllBut(newest)
}

func (j *Journal) read(name string) (Contents, error) {
	path := filepath.Join(j.folder, name)
	data, err := j.files.ReadFile(path)
	if err != nil {
		return Contents{}, fmt.Errorf("read journal: %w", err)
	}
	var c Contents
	for offset := 0; offset < len(data); {
		payload, err := decodeFrame(data, offset, j.frames)
		if err == nil {
			err = j.replay(payload, &c.State)
		}
		if errors.Is(err, errTorn) && offset > 0 && !frameFollows(data, offset) {
			c.Truncated = len(data) - offset
			if err := j.files.Truncate(path, int64(offset)); err != nil {
				return Contents{}, fmt.Errorf("cut off the incomplete end of %s: %w", path, err)
			}
			break
		}
		if err != nil {
			return Contents{}, fmt.Errorf("journal %s is damaged at byte %d of %d: %w; "+
				"replace the data folder by an empty one, and the VM joins again as a new voter", path, offset, len(data), err)
		}
		offset += headerSize + len(payload)
		j.frames++
	}
	if j.frames == 0 {
		return Contents{}, fmt.Errorf("journal %s is empty", path)
	}
	c.Disk = j.identity.Disk
	return c, nil
}

// replay adds one record to s.
func (j *Journal) replay(payload []byte, s *replicator.State) error {
	var r record
	if err := decoding.Unmarshal(payload, &r); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if (r.Identity != nil) != (j.frames == 0) {
		return errors.New("the identity is not in the first record, or repeated")
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

// appendEntries adds entries to s. An entry replaces an older one of the same
// index and everything after it.
func appendEntries(s *replicator.State, entries []replicator.Entry) error {
	for _, e := range entries {
		if len(s.Entries) == 0 {
			if s.Snapshot == nil && e.Index != 1 || s.Snapshot != nil && e.Index > s.Snapshot.Index+1 {
				return fmt.Errorf("the log begins at entry %d", e.Index)
			}
			s.Entries = append(s.Entries, e)
			continue
		}
		first := s.Entries[0].Index
		if e.Index < first || e.Index > first+uint64(len(s.Entries)) {
			return fmt.Errorf("entry %d does not follow the log of entries %d to %d", e.Index, first, first+uint64(len(s.Entries))-1)
		}
		s.Entries = append(s.Entries[:e.Index-first], e)
	}
	return nil
}

// Append writes a change and syncs it. The change is durable when Append
// returns nil. After an error every later call fails, because it is unknown
// what reached the disk.
func (j *Journal) Append(hard *replicator.HardState, entries []replicator.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	frame, err := encodeFrame(j.frames, record{HardState: hard, Entries: entries})
	if err == nil {
		_, err = j.file.Write(frame)
	}
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		return j.fail("append to journal", err)
	}
	j.frames++
	return nil
}

// Rewrite replaces everything by state, in a new file. On error the old file
// stays in place, and every later call fails.
func (j *Journal) Rewrite(state replicator.State) error {
	if j.failure != nil {
		return j.failure
	}
	frame, err := encodeFrame(0, record{Identity: &j.identity, HardState: &state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	if err != nil {
		return j.fail("encode journal", err)
	}
	name := fmt.Sprintf("%s%020d", filePrefix, j.generation+1)
	path := filepath.Join(j.folder, name)
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
		err = j.files.SyncFolder(j.folder)
	}
	if err != nil {
		return errors.Join(j.fail("write journal", err), file.Close())
	}
	if j.file != nil {
		_ = j.file.Close() // superseded; everything in it is in the new file
	}
	j.file, j.frames = file, 1
	j.generation++
	return j.removeAllBut(name)
}

// Recover replaces everything by state after a failed write. State must hold
// all that was ever given to Append or Rewrite, so that it does not matter what
// of the failed write reached the disk.
func (j *Journal) Recover(state replicator.State) error {
	j.failure = nil
	return j.Rewrite(state)
}

// removeAllBut deletes superseded and temporary files. It keeps files that
// are not the journal's.
func (j *Journal) removeAllBut(keep string) error {
	names, err := j.files.Names(j.folder)
	if err != nil {
		return j.fail("list data folder", err)
	}
	names = slices.DeleteFunc(names, func(n string) bool { return n == keep || !strings.HasPrefix(n, filePrefix) })
	for _, name := range names {
		if err := j.files.Remove(filepath.Join(j.folder, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return j.fail("remove old journal", err)
		}
	}
	return nil
}

func (j *Journal) fail(step string, err error) error {
	j.failure = zinniatide.WrapStep(err, step, j.folder)
	return j.failure
}

// Close releases the folder.
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
