package replicator_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"banyandock.example/banyandock/internal/journaler"
)

// errCrashed is the error of a disk whose host has crashed.
var errCrashed = errors.New("crashed")

// blockSize is the number of bytes that a torn write keeps or loses as a unit.
const blockSize = 16

// content is a file's bytes. synced is the part that survives a crash for certain.
type content struct {
	bytes  []byte
	synced []byte
}

// fakeDisk is an in-memory disk. A crash loses any part of what was not synced.
type fakeDisk struct {
	random *rand.Rand
	names  map[string]*content
	synced map[string]*content
	// crashAfter is the number of operations until the host crashes. Negative means never.
	crashAfter int
	// isSyncIgnored makes Sync and SyncFolder do nothing.
	isSyncIgnored bool
}

func newFakeDisk(random *rand.Rand) *fakeDisk {
	return &fakeDisk{random: random, names: map[string]*content{}, synced: map[string]*content{}, crashAfter: -1}
}

// countOperation counts an operation, and fails once the host has crashed.
func (d *fakeDisk) countOperation() error {
	if d.crashAfter == 0 {
		return errCrashed
	}
	if d.crashAfter > 0 {
		d.crashAfter--
	}
	return nil
}

// crash simulates a loss of power: it leaves what the disk would hold afterwards.
func (d *fakeDisk) crash() {
	if d.random.IntN(2) == 0 {
		d.names = maps.Clone(d.synced)
	}
	d.synced = maps.Clone(d.names)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		c := d.names[name]
		c.bytes = d.tear(c)
		c.synced = slices.Clone(c.bytes)
	}
	d.crashAfter = -1
}

// tear returns what a torn write leaves: a random mix of synced and unsynced blocks.
func (d *fakeDisk) tear(c *content) []byte {
	if d.random.IntN(3) == 0 {
		return slices.Clone(c.synced)
	}
	torn := make([]byte, len(c.bytes))
	copy(torn, c.synced)
	for offset := 0; offset < len(c.bytes); offset += blockSize {
		if d.random.IntN(2) == 0 {
			end := min(offset+blockSize, len(c.bytes))
			copy(torn[offset:end], c.bytes[offset:end])
		}
	}
	return torn
}

func (d *fakeDisk) Create(name string) (journaler.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	d.names[name] = &content{}
	return &fakeFile{disk: d, content: d.names[name]}, nil
}

func (d *fakeDisk) Open(name string) (journaler.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	c := d.names[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return &fakeFile{disk: d, content: c}, nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	delete(d.names, name)
	return d.countOperation()
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if !d.isSyncIgnored {
		d.synced = maps.Clone(d.names)
	}
	return nil
}

func (d *fakeDisk) Close() error { return nil }

// fakeFile is an open file of a fakeDisk.
type fakeFile struct {
	disk    *fakeDisk
	content *content
}

func (f *fakeFile) ReadAt(b []byte, offset int64) (int, error) {
	if err := f.disk.countOperation(); err != nil {
		return 0, err
	}
	if offset >= int64(len(f.content.bytes)) {
		return 0, io.EOF
	}
	n := copy(b, f.content.bytes[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *fakeFile) WriteAt(b []byte, offset int64) (int, error) {
	if grow := offset + int64(len(b)) - int64(len(f.content.bytes)); grow > 0 {
		f.content.bytes = append(f.content.bytes, make([]byte, grow)...)
	}
	copy(f.content.bytes[offset:], b)
	return len(b), f.disk.countOperation()
}

func (f *fakeFile) Truncate(size int64) error {
	f.content.bytes = f.content.bytes[:size]
	return f.disk.countOperation()
}

func (f *fakeFile) Sync() error {
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	if !f.disk.isSyncIgnored {
		f.content.synced = slices.Clone(f.content.bytes)
	}
	return nil
}

func (f *fakeFile) Size() (int64, error) { return int64(len(f.content.bytes)), f.disk.countOperation() }
func (f *fakeFile) Close() error         { return nil }
