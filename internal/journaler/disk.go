package journaler

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// File is an open file of a Disk.
type File interface {
	io.ReaderAt
	io.WriterAt
	// Truncate changes the length of the file to a size in bytes.
	Truncate(size int64) error
	// Sync makes the content durable, so that it survives a power loss.
	Sync() error
	// Size returns the length in bytes.
	Size() (int64, error)
	Close() error
}

// Disk gives access to the files of one data folder. The names are file names without a path.
type Disk interface {
	// Create creates an empty file or empties an existing one.
	Create(name string) (File, error)
	// Open opens a file for reading and writing. The error matches fs.ErrNotExist if the file
	// does not exist.
	Open(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file. It returns nil if the file does not exist.
	Remove(name string) error
	// SyncFolder makes earlier creations, renames and removals durable.
	SyncFolder() error
	// Close unlocks the folder for other processes.
	Close() error
}

const (
	lockName   = "lock"
	fileMode   = 0o600
	folderMode = 0o700
)

// folder is a Disk in the file system of the operating system.
type folder struct {
	path string
	lock *os.File
}

// openFolder creates the folder if it does not exist and locks it for this process. It returns
// ErrLocked if another process has locked it.
func openFolder(path string) (*folder, error) {
	if err := makeFolder(path); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "open lock file")
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, eris.Wrapf(ErrLocked, "%s: %v", path, err)
	}
	return &folder{path: path, lock: lock}, nil
}

// makeFolder creates a folder if it does not exist and syncs the parent folder, also for a process that
// was killed before it did.
func makeFolder(path string) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	return syncPath(filepath.Dir(path))
}

// syncPath syncs a folder.
func syncPath(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "sync folder")
	}
	return eris.Wrap(f.Close(), "close folder")
}

// Create creates an empty file.
func (d *folder) Create(name string) (File, error) {
	return d.open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Open opens an existing file.
func (d *folder) Open(name string) (File, error) {
	return d.open(name, os.O_RDWR)
}

// open opens a file with flags of os.OpenFile.
func (d *folder) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), flags, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", name)
	}
	return osFile{f}, nil
}

// Rename renames a file.
func (d *folder) Rename(from, to string) error {
	err := os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
	return eris.Wrapf(err, "rename %s to %s", from, to)
}

// Remove deletes a file if it exists.
func (d *folder) Remove(name string) error {
	err := os.Remove(filepath.Join(d.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return eris.Wrapf(err, "remove %s", name)
}

// SyncFolder syncs the folder.
func (d *folder) SyncFolder() error { return syncPath(d.path) }

// Close releases the lock.
func (d *folder) Close() error { return eris.Wrap(d.lock.Close(), "close lock file") }

// osFile implements File with an os.File.
type osFile struct {
	*os.File
}

// Size returns the length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, eris.Wrap(err, "stat")
	}
	return info.Size(), nil
}
