package broadcaster

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
)

// errNoDirectory reports a file that holds no directory.
var errNoDirectory = eris.New("file holds no directory")

// shelved is the content of a Shelf's file.
type shelved struct {
	// Checksum is the xxhash of Servers.
	Checksum uint64
	// Servers is a list of encoded registrations.
	Servers []byte
}

// Shelf keeps a directory in a file, so that a keeper that restarts knows the servers before
// they have all sent a heartbeat. Losing the file loses no promise: servers announce
// themselves again. It is safe for concurrent use.
type Shelf struct {
	path string

	// mutex admits one writer at a time.
	mutex sync.Mutex
}

// NewDirectoryFile returns a shelf whose file lies in a folder.
func NewDirectoryFile(folder string) *Shelf {
	return &Shelf{path: filepath.Join(folder, "directory")}
}

// Load reads the directory. A missing file holds an empty one.
func (s *Shelf) Load() ([]encoder.Registration, error) {
	text, err := os.ReadFile(s.path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read directory")
	}
	content, err := encoder.Decode[shelved](text)
	if err != nil || xxhash.Sum64(content.Servers) != content.Checksum {
		return nil, errNoDirectory
	}
	return encoder.Decode[[]encoder.Registration](content.Servers)
}

// Save replaces the directory. It is on the disk when Save returns.
func (s *Shelf) Save(servers []encoder.Registration) error {
	encoded, err := encoder.Encode(servers)
	if err != nil {
		return err
	}
	text, err := encoder.Encode(shelved{Checksum: xxhash.Sum64(encoded), Servers: encoded})
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return eris.Wrap(s.write(text), "write directory")
}

// write syncs a new file before it takes the place of the old one.
func (s *Shelf) write(text []byte) error {
	temporary := s.path + ".new"
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
	if err := os.Rename(temporary, s.path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(s.path))
}

// syncFolder makes a rename durable.
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
