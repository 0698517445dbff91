package broadcaster

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
)

// errCorruptDirectory is returned for a file that cannot be decoded or has a wrong checksum.
var errCorruptDirectory = eris.New("directory file is corrupt")

// storedDirectory is the content of a DirectoryFile's file.
type storedDirectory struct {
	// Checksum is the xxhash of Servers.
	Checksum uint64
	// Servers is a list of encoded registrations.
	Servers []byte
}

// DirectoryFile keeps a directory in a file, so that a keeper that restarts has the servers before
// all of them have sent a heartbeat. Losing the file breaks no guarantee, because servers announce
// themselves again. It is safe for concurrent use.
type DirectoryFile struct {
	path string

	// mutex serializes writers.
	mutex sync.Mutex
}

// NewDirectoryFile returns a DirectoryFile that stores its file in a folder.
func NewDirectoryFile(folder string) *DirectoryFile {
	return &DirectoryFile{path: filepath.Join(folder, "directory")}
}

// Load reads the directory. It returns an empty one if the file does not exist.
func (d *DirectoryFile) Load() ([]encoder.Registration, error) {
	text, err := os.ReadFile(d.path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read directory")
	}
	content, err := encoder.Decode[storedDirectory](text)
	if err != nil || xxhash.Sum64(content.Servers) != content.Checksum {
		return nil, errCorruptDirectory
	}
	return encoder.Decode[[]encoder.Registration](content.Servers)
}

// Save replaces the directory. The new one is on disk when Save returns without an error.
func (d *DirectoryFile) Save(servers []encoder.Registration) error {
	encoded, err := encoder.Encode(servers)
	if err != nil {
		return err
	}
	text, err := encoder.Encode(storedDirectory{Checksum: xxhash.Sum64(encoded), Servers: encoded})
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return eris.Wrap(d.write(text), "write directory")
}

// write writes and syncs a new file and then renames it over the old one.
func (d *DirectoryFile) write(text []byte) error {
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
