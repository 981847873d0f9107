// Package disk stores the log of a replica in one file under the data folder.
//
// Records are buffered and written as one frame by each Sync, so only the last frame
// of a file can be torn by a crash. On opening, a torn last frame is cut off; a
// damaged frame with an intact one after it is refused, since what it held may have
// been acknowledged.
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

// DamagedError tells that a file can't be trusted.
type DamagedError struct {
	File string
	// Position is the first damaged byte.
	Position int64
	Problem  string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return errors.Errorf("%s: byte %d: %s; move the data folder away, start this replica with an empty one, "+
		"and admit it with `fuchsiashed control replace`", e.File, e.Position, e.Problem).Error()
}

// Log is the storage of one replica. It implements fleet.Storage and is used by one
// goroutine.
type Log struct {
	folder  string
	file    *os.File
	lock    *os.File
	pending [][]byte
	buf     []byte
	// size is the length of the file up to the last frame that was synced.
	syncedSize int64
	// torn says that a write failed, so that bytes of no use may follow size.
	unsynced bool
	// TornBytes is the length of the torn tail that Open truncated.
	TornBytes int64
}

// Open opens the storage in a folder, which is made when it is missing. Another
// process must not have it open.
func Open(folder string) (*Log, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errors.Wrap(err, "make data folder")
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
		// The error that made the storage unusable is the one to report.
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

func (l *Log) acquireLock() error {
	f, err := os.OpenFile(l.path(lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "data folder %s is used by another process", l.folder)
	}
	l.lock = f
	return nil
}

func (l *Log) releaseLock() { _ = l.lock.Close() }

func (l *Log) openFile() error {
	f, err := os.OpenFile(l.path(logName), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return errors.Wrap(err, "open replica log")
	}
	end, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		_ = f.Close()
		return errors.Wrap(err, "find the end of the replica log")
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

// cutTorn drops what follows the last synced frame.
func (l *Log) truncateToSynced() error {
	if err := l.file.Truncate(l.syncedSize); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	return errors.Wrap(l.file.Sync(), "sync replica log")
}

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

// Sync implements fleet.Storage. After an error nothing of this sync counts as stored,
// and the next one begins at the same place of the file.
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

// Replace implements fleet.Storage. The new file takes the place of the old one only
// after it is whole on disk.
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

func writeSynced(path string, data []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "make replica log")
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
