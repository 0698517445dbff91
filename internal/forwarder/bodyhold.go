package forwarder

import (
	"sync"

	"banyandock.example/banyandock/internal/reserver"
)

// bodyHold accounts for a request's body as long as attempts refer to it, which may outlive the query: while they
// are sent, and while they wait to record their results.
type bodyHold struct {
	// source is the Hold with the body's bytes until the query ends. It is set before the first attempt.
	source *reserver.Hold

	// Guarded by mutex.
	mutex sync.Mutex
	users int
	// rest holds the bytes after the query's end. It is nil before, and if nothing refers to the body then.
	rest *reserver.Hold
}

// beginUse records that an attempt refers to the body.
func (b *bodyHold) beginUse() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.users++
}

// endUse records that an attempt no longer refers to the body.
func (b *bodyHold) endUse() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.users--; b.users == 0 {
		b.rest.Close()
	}
}

// outlive keeps the body's bytes after the end of the source until the last attempt has ended.
func (b *bodyHold) outlive(bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.users > 0 {
		b.rest = b.source.Split(int64(bytes))
	}
}
