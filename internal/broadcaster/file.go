package broadcaster

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
)

// errCorruptFile is returned for a file that cannot be decoded or has a wrong checksum.
var errCorruptFile = eris.New("file is corrupt")

// Files are the files of a Broadcaster.
type Files struct {
	// Directory keeps the directory, so that a keeper that restarts has the servers before all of
	// them have sent a heartbeat. Losing it breaks no guarantee, because servers announce themselves
	// again.
	Directory *File[[]encoder.Registration]
	// Quarantines keeps the quarantines, so that requests that crash servers stay quarantined when
	// all hosts restart.
	Quarantines *File[[]encoder.Quarantine]
}

// NewFiles returns the files in a folder.
func NewFiles(folder string) Files {
	return Files{
		Directory:   &File[[]encoder.Registration]{path: filepath.Join(folder, "directory")},
		Quarantines: &File[[]encoder.Quarantine]{path: filepath.Join(folder, "quarantines")},
	}
}

// stored is the content of a file.
type stored struct {
	// Checksum is the xxhash of Servers.
	Checksum uint64
	// Servers is the encoded value. The name dates from files that held only servers.
	Servers []byte
}

// File keeps a value in a file. It is safe for concurrent use.
type File[T any] struct {
	path string

	// mutex serializes writers.
	mutex sync.Mutex
}

// NewFile returns the file at a path.
func NewFile[T any](path string) *File[T] { return &File[T]{path: path} }

// Load reads the value. It returns the zero value if the file does not exist. What it returns is on disk:
// a process that was killed may have renamed the file without syncing the folder.
func (d *File[T]) Load() (T, error) {
	var none T
	text, err := os.ReadFile(d.path)
	if os.IsNotExist(err) {
		return none, nil
	}
	if err != nil {
		return none, eris.Wrap(err, "read")
	}
	content, err := encoder.Decode[stored](text)
	if err != nil || xxhash.Sum64(content.Servers) != content.Checksum {
		return none, errCorruptFile
	}
	if err := syncFolder(filepath.Dir(d.path)); err != nil {
		return none, eris.Wrap(err, "sync folder")
	}
	return encoder.Decode[T](content.Servers)
}

// Save replaces the value. The new one is on disk when Save returns without an error.
func (d *File[T]) Save(value T) error {
	encoded, err := encoder.Encode(value)
	if err != nil {
		return err
	}
	text, err := encoder.Encode(stored{Checksum: xxhash.Sum64(encoded), Servers: encoded})
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return eris.Wrap(d.write(text), "write")
}

// write writes and syncs a new file and then renames it over the old one.
func (d *File[T]) write(text []byte) error {
	temporary := d.path + ".new"
	f, err := os.Create(temporary)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, d.path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(d.path))
}

// syncFolder makes a rename in the folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}
