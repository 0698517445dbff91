package replicator

import (
	"github.com/cespare/xxhash/v2"
)

// snapshotTransfer is the state of sending a snapshot to a peer.
type snapshotTransfer struct {
	header SnapshotHeader
	// offset is the number of bytes that the peer has acknowledged.
	offset int64
	// isWaiting is set while a chunk is unacknowledged. sentAt is the tick at which that chunk
	// was sent.
	isWaiting bool
	sentAt    uint64
}

// partialSnapshot is a snapshot that a follower is receiving.
type partialSnapshot struct {
	header SnapshotHeader
	state  []byte
}

// receivedSnapshot is a completely received snapshot, which must be saved and restored.
type receivedSnapshot struct {
	header SnapshotHeader
	state  []byte
}

// sendSnapshot sends the next chunk. It resends an unacknowledged chunk after a heartbeat
// interval.
func (c *core) sendSnapshot(p *peer) {
	t := p.snapshotTransfer
	if t == nil || t.header.Last != c.snapshot.Last {
		t = &snapshotTransfer{header: c.snapshot}
		p.snapshotTransfer = t
		c.emit(EventSnapshotSending, p.member)
	}
	if t.isWaiting && c.now-t.sentAt < uint64(c.settings.HeartbeatTicks) {
		return
	}
	data, err := c.readSnapshot(t.offset, c.settings.ChunkBytes)
	if err != nil {
		// The snapshot file cannot be read. The peer gets no data from this leader and has to
		// wait for another one.
		c.options.onEvent(Event{Kind: EventStorageFailed, Term: c.state.Term, Detail: err.Error()})
		t.isWaiting = true
		t.sentAt = c.now
		return
	}
	t.isWaiting = true
	t.sentAt = c.now
	p.sentRound = max(p.sentRound, c.round)
	c.sendImmediately(p.member, snapshotChunk{Header: t.header, Offset: t.offset, Data: data, Round: c.round})
}

// receiveSnapshotReply records the progress of a transfer.
func (c *core) receiveSnapshotReply(m received, r snapshotReply) {
	p := c.peers[m.From.Incarnation]
	if c.role != leader || p == nil {
		return
	}
	c.recordReply(p, r.Round)
	t := p.snapshotTransfer
	if t == nil || t.header.Last != r.Last {
		return
	}
	t.offset = min(r.Received, t.header.Size)
	t.isWaiting = false
}

// receiveSnapshotChunk adds a chunk to the partial snapshot, and installs the snapshot once it
// is complete.
func (c *core) receiveSnapshotChunk(m received, chunk snapshotChunk) {
	c.follow(m.From)
	if c.leader.Incarnation != m.From.Incarnation {
		return
	}
	h := chunk.Header
	if h.Last.Index <= c.commit {
		// This member already has everything that the snapshot includes.
		c.reply(m, appendReply{Match: c.commit, Round: chunk.Round})
		return
	}
	if h.Size < 0 || h.Size > maxSnapshotBytes {
		return
	}
	partial := c.partialSnapshot
	if partial == nil || partial.header.Last != h.Last || partial.header.Checksum != h.Checksum {
		partial = &partialSnapshot{header: h}
		c.partialSnapshot = partial
	}
	if chunk.Offset == int64(len(partial.state)) && chunk.Offset+int64(len(chunk.Data)) <= h.Size {
		partial.state = append(partial.state, chunk.Data...)
	}
	if int64(len(partial.state)) < h.Size {
		c.reply(m, snapshotReply{Last: h.Last, Received: int64(len(partial.state)), Round: chunk.Round})
		return
	}
	c.partialSnapshot = nil
	if xxhash.Sum64(partial.state) != h.Checksum {
		// The checksum does not match, so the leader must resend the snapshot from the first
		// byte.
		c.reply(m, snapshotReply{Last: h.Last, Round: chunk.Round})
		return
	}
	c.install(partial)
	c.reply(m, appendReply{Match: h.Last.Index, Round: chunk.Round})
}

// install replaces the log with a received snapshot. It keeps the entries that follow the
// snapshot if the log contains the snapshot's last entry.
func (c *core) install(partial *partialSnapshot) {
	last := partial.header.Last
	var kept []Entry
	if c.log.has(last) {
		kept = append(kept, c.log.entries[last.Index-c.log.base.Index:]...)
	}
	c.log.reset(last, kept)
	c.snapshot = partial.header
	c.rebuildConfigurations()
	c.commit = last.Index
	c.history.reset(last.Index, partial.header.Digest)
	c.output.snapshot = &receivedSnapshot{header: partial.header, state: partial.state}
	c.emit(EventSnapshotInstalled, Member{})
}

// needsSnapshot reports whether the log exceeds its limits and a snapshot is due. The log must
// also be at least half as large as the state in the last snapshot, so that writing snapshots
// costs at most twice as much as writing the log, however large the state is.
func (c *core) needsSnapshot() bool {
	applied := c.history.applied
	if applied <= max(c.snapshot.Last.Index, c.log.base.Index) || int64(c.log.bytes) < c.snapshot.Size/2 {
		return false
	}
	isLong := applied-c.snapshot.Last.Index >= c.settings.SnapshotEntries
	isMostlyApplied := applied-c.log.base.Index > uint64(len(c.log.entries))/2
	return isLong || c.log.bytes >= c.settings.SnapshotBytes && isMostlyApplied
}

// snapshotHeader returns the header of a snapshot of the state after the last applied entry.
func (c *core) snapshotHeader(state []byte) SnapshotHeader {
	last, _ := c.log.position(c.history.applied)
	entry := c.configurationEntry(last.Index)
	return SnapshotHeader{
		Last:               last,
		Configuration:      entry.configuration,
		ConfigurationIndex: entry.index,
		Digest:             c.history.digest,
		Size:               int64(len(state)),
		Checksum:           xxhash.Sum64(state),
	}
}

// compact records a snapshot that storage holds and removes the log before it. It keeps up to
// TrailingEntries entries, as far as they fit into a quarter of SnapshotBytes.
func (c *core) compact(h SnapshotHeader) {
	c.snapshot = h
	fitting := len(c.log.entries) * (c.settings.SnapshotBytes / 4) / max(c.log.bytes, 1)
	keep := min(c.settings.TrailingEntries, uint64(fitting))
	if h.Last.Index > c.log.base.Index+keep {
		c.log.compact(h.Last.Index - keep)
	}
	c.rebuildConfigurations()
	c.emit(EventSnapshotTaken, Member{})
}
