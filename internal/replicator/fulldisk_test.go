package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
)

const (
	// fullTime is how long a disk is full, and restartDelay the time after which a member whose storage failed is
	// opened again.
	fullTime     = 3 * time.Second
	restartDelay = 500 * time.Millisecond
	// changeInterval is the time between two changes while disks are full, and changeTimeout how long each may take.
	changeInterval = 100 * time.Millisecond
	changeTimeout  = 5 * time.Second
	// calmTime is the time after the last disk had room again until changes must be accepted without a failure.
	calmTime = 10 * time.Second
)

// limitedDisk is a disk that takes no more bytes while it is full. A snapshot is prepared while entries are appended, so
// that one operation at a time uses the fakeDisk.
type limitedDisk struct {
	*fakeDisk
	isFull *atomic.Bool
	mutex  *sync.Mutex
}

func newLimitedDisk(random *rand.Rand) limitedDisk {
	return limitedDisk{newFakeDisk(random), &atomic.Bool{}, &sync.Mutex{}}
}

func (d limitedDisk) Create(name string) (journaler.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, err := d.fakeDisk.Create(name)
	return limitedFile{f, d}, err
}

func (d limitedDisk) Open(name string) (journaler.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, err := d.fakeDisk.Open(name)
	if err != nil {
		return nil, err
	}
	return limitedFile{f, d}, nil
}

func (d limitedDisk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fakeDisk.Rename(from, to)
}

func (d limitedDisk) Remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fakeDisk.Remove(name)
}

func (d limitedDisk) SyncFolder() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fakeDisk.SyncFolder()
}

// limitedFile is a file of a limitedDisk.
type limitedFile struct {
	file journaler.File
	disk limitedDisk
}

func (f limitedFile) ReadAt(b []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.file.ReadAt(b, offset)
}

// WriteAt writes a part of the bytes if the disk is full.
func (f limitedFile) WriteAt(b []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if !f.disk.isFull.Load() {
		return f.file.WriteAt(b, offset)
	}
	n, err := f.file.WriteAt(b[:f.disk.random.IntN(len(b)+1)], offset)
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

func (f limitedFile) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.file.Truncate(size)
}

func (f limitedFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.file.Sync()
}

func (f limitedFile) Size() (int64, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.file.Size()
}

func (f limitedFile) Close() error { return f.file.Close() }

// keptMember is a member that is opened again after its storage failed, as a keeper does.
type keptMember struct {
	group  *group
	member replicator.Member
	disk   limitedDisk
	stop   chan struct{}
}

// run opens the member until it is stopped.
func (k *keptMember) run() {
	for {
		r, state := k.open()
		if r != nil {
			k.group.setRunning(k.member, r, state)
			select {
			case <-r.Stopped():
			case <-k.stop:
			}
			k.group.setRunning(k.member, nil, nil)
			_ = r.Close()
		}
		select {
		case <-time.After(restartDelay):
		case <-k.stop:
			return
		}
	}
}

// open opens the member. It returns nil if its storage fails.
func (k *keptMember) open() (*replicator.Replicator, *register) {
	j, err := journaler.Open("", journaler.WithDisk(k.disk))
	assert.Check(k.group.t, err)
	settings := replicator.Settings{Self: k.member, Initial: k.group.initial}
	k.group.changeSettings(&settings)
	state := &register{}
	r, err := replicator.Open(settings, state, j, groupTransport{k.group, k.member.Name},
		replicator.WithSeed(uint64(k.member.Address.Port())), replicator.WithInvariantFailure(func(v replicator.Violation) { panic(&v) }))
	if err != nil {
		return nil, nil
	}
	return r, state
}

// setRunning replaces a running member, or removes it if r is nil.
func (g *group) setRunning(m replicator.Member, r *replicator.Replicator, state *register) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r == nil {
		delete(g.running, m.Name)
		return
	}
	g.running[m.Name], g.state[m.Name] = r, state
}

// tryPropose commits a command through the current leader, within changeTimeout.
func (g *group) tryPropose(command string) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	for {
		if r := g.leader(); r != nil {
			if _, err := r.Propose(ctx, []byte(command)); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestChangesAreAcceptedAfterDisksWereFullInTurn guards against a group that refuses changes, or leaves them without an
// answer, long after each of its disks was full for some seconds, one after another.
func TestChangesAreAcceptedAfterDisksWereFullInTurn(t *testing.T) {
	for seed := range uint64(12) {
		for _, n := range []int{3, 5} {
			t.Run(fmt.Sprint(n, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { expectGroupOutlivesFullDisks(t, n, seed) })
			})
		}
	}
}

func expectGroupOutlivesFullDisks(t *testing.T, n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	g := newGroup(t, n)
	g.changeSettings = func(s *replicator.Settings) { s.SnapshotEntries, s.TrailingEntries = 20, 5 }
	stop := make(chan struct{})
	members := sync.WaitGroup{}
	disks := []limitedDisk{}
	for _, m := range g.initial {
		d := newLimitedDisk(rand.New(rand.NewPCG(seed, uint64(m.Address.Port()))))
		disks = append(disks, d)
		members.Go((&keptMember{group: g, member: m, disk: d, stop: stop}).run)
	}
	defer members.Wait()
	defer close(stop)
	assert.NilError(t, g.tryPropose("first"))
	changes := sync.WaitGroup{}
	for i := range 2 * n {
		full := &disks[i%n]
		if i >= n {
			full = &disks[random.IntN(n)]
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		full.isFull.Store(true)
		for c := range int(fullTime / changeInterval) {
			changes.Go(func() { _ = g.tryPropose(fmt.Sprintf("%d-%d", i, c)) })
			time.Sleep(changeInterval)
		}
		full.isFull.Store(false)
	}
	changes.Wait()
	time.Sleep(calmTime)
	for c := range 20 {
		assert.NilError(t, g.tryPropose(fmt.Sprintf("late-%d", c)), "change %d", c)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	assert.Equal(t, len(g.running), n)
}
