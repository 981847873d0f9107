// Package disk stores the log of a replica in one file in the data folder.
//
// Sync writes all buffered records as one frame, so a crash can tear only the last frame of
// the file. Open truncates a torn last frame. It fails on a damaged frame that an intact one
// follows, since the damaged records may have been acknowledged.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Names of the files in the data folder.
const (
	logName  = "replica.log"
	tempName = "replica.log.new"
	lockName = "lock"
)

// DamagedError reports a damaged log file, whose records can't be used.
type DamagedError struct {
	File string
	// Position is the offset of the damaged frame, in bytes.
	Position int64
	Problem  string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return errors.Errorf("%s: byte %d: %s; move the data folder away, start this replica with an empty one, "+
		"and admit it with `fuchsiashed control replace`", e.File, e.Position, e.Problem).Error()
}

// Log is the storage of one replica. It implements fleet.Storage and is not safe for
// concurrent use.
type Log struct {
	folder  string
	file    *os.File
	lock    *os.File
	pending [][]byte
	buf     []byte
	// syncedSize is the length of the file up to the end of the last synced frame.
	syncedSize int64
	// unsynced is true after a failed write or sync; bytes to truncate may follow syncedSize.
	unsynced bool
	// TornBytes is the length of the torn tail that Open truncated.
	TornBytes int64
}

// Open opens the storage in a folder, which it creates if missing, and truncates a torn
// tail. It fails if another process has the storage open, and with a *DamagedError if the
// log is damaged.
func Open(folder string) (*Log, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	l := &Log{folder: folder}
	if err := l.acquireLock(); err != nil {
		return nil, err
	}
	if err := l.openFile(); err != nil {
		l.releaseLock()
		return nil, err
	}
	if err := l.truncateTornTail(); err != nil {
		// The error of Close matters less than the one that made the storage unusable.
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// acquireLock takes the lock that keeps other processes from opening the folder.
func (l *Log) acquireLock() error {
	f, err := os.OpenFile(l.path(lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "data folder %s is used by another process", l.folder)
	}
	l.lock = f
	return nil
}

func (l *Log) releaseLock() { _ = l.lock.Close() }

// openFile opens the log file, creating it if missing, and makes its directory entry durable.
func (l *Log) openFile() error {
	f, err := os.OpenFile(l.path(logName), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return errors.Wrap(err, "open replica log")
	}
	end, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		_ = f.Close()
		return errors.Wrap(err, "seek to the end of replica log")
	}
	l.file, l.syncedSize, l.unsynced = f, end, false
	return l.syncFolder()
}

func (l *Log) syncFolder() error {
	d, err := os.Open(l.folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "sync data folder")
}

// truncateTornTail truncates the file after its last intact frame.
func (l *Log) truncateTornTail() error {
	data, err := os.ReadFile(l.path(logName))
	if err != nil {
		return errors.Wrap(err, "read replica log")
	}
	_, intact, err := l.parseFile(data)
	if err != nil || intact == len(data) {
		return err
	}
	l.TornBytes = int64(len(data) - intact)
	l.syncedSize = int64(intact)
	return l.truncateToSynced()
}

// truncateToSynced truncates the file after the last synced frame.
func (l *Log) truncateToSynced() error {
	if err := l.file.Truncate(l.syncedSize); err != nil {
		return errors.Wrap(err, "truncate torn tail of replica log")
	}
	return errors.Wrap(l.file.Sync(), "sync replica log")
}

// parseFile is parseFrames with errors as *DamagedError.
func (l *Log) parseFile(data []byte) ([][]byte, int, error) {
	records, intact, err := parseFrames(data)
	if err != nil {
		return nil, intact, &DamagedError{File: l.path(logName), Position: int64(intact), Problem: err.Error()}
	}
	return records, intact, nil
}

// Records implements fleet.Storage.
func (l *Log) Records() ([][]byte, error) {
	data, err := os.ReadFile(l.path(logName))
	if err != nil {
		return nil, errors.Wrap(err, "read replica log")
	}
	records, _, err := l.parseFile(data)
	return records, err
}

// Append implements fleet.Storage.
func (l *Log) Append(records ...[]byte) error {
	l.pending = append(l.pending, records...)
	return nil
}

// Discard implements fleet.Storage.
func (l *Log) Discard() { l.pending = nil }

// Sync implements fleet.Storage. After an error none of the buffered records counts as
// stored, and the next Sync first truncates the file to syncedSize.
func (l *Log) Sync() error {
	if len(l.pending) == 0 {
		return nil
	}
	if l.unsynced {
		if err := l.truncateToSynced(); err != nil {
			return err
		}
		l.unsynced = false
	}
	var err error
	if l.buf, err = appendFrame(l.buf[:0], l.pending); err != nil {
		return err
	}
	l.unsynced = true
	if _, err := l.file.Write(l.buf); err != nil {
		return errors.Wrap(err, "write replica log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync replica log")
	}
	l.pending, l.unsynced = l.pending[:0], false
	l.syncedSize += int64(len(l.buf))
	return nil
}

// Replace implements fleet.Storage. The new file is complete and durable before it is renamed
// over the old one.
func (l *Log) Replace(records ...[]byte) error {
	frame, err := appendFrame(nil, records)
	if err != nil {
		return err
	}
	if err := writeSynced(l.path(tempName), frame); err != nil {
		return err
	}
	if err := os.Rename(l.path(tempName), l.path(logName)); err != nil {
		return errors.Wrap(err, "rename replica log")
	}
	old := l.file
	if err := l.openFile(); err != nil {
		return err
	}
	l.pending = nil
	return errors.Wrap(old.Close(), "close replica log")
}

// writeSynced creates a file with the data and makes it durable.
func writeSynced(path string, data []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create replica log")
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return errors.Wrap(err, "write replica log")
	}
	return errors.Wrap(f.Sync(), "sync replica log")
}

// Close implements fleet.Storage.
func (l *Log) Close() error {
	defer l.releaseLock()
	return errors.Wrap(l.file.Close(), "close replica log")
}
