package replicator

// entryLog is the in-memory part of the log, without the entries that were compacted.
type entryLog struct {
	// Set at creation. commandNumber returns a command's number, or zero if the command has none.
	// It may be nil.
	commandNumber func(command []byte) uint64

	// Written by the core. base is the position before entries[0], which has the index
	// base.Index+1.
	base    Position
	entries []Entry
	// bytes is the total size of the entries: their data plus entryOverhead for each.
	bytes int
	// stable is the last index that storage has synced.
	stable uint64
	// commandNumbers maps the index of an entry to its command's number, if that is not zero.
	commandNumbers map[uint64]uint64
}

// newEntryLog returns the stored log.
func newEntryLog(s Stored, commandNumber func([]byte) uint64) *entryLog {
	l := &entryLog{commandNumber: commandNumber, base: s.Base, commandNumbers: map[uint64]uint64{}}
	l.push(s.Entries)
	l.stable = l.last().Index
	return l
}

// last returns the position of the last entry.
func (l *entryLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return Position{Index: e.Index, Term: e.Term}
}

// position returns the position of the entry at an index. It returns false if the index is
// after the last entry or was compacted.
func (l *entryLog) position(index uint64) (Position, bool) {
	if index == l.base.Index {
		return l.base, true
	}
	if index < l.base.Index || index > l.last().Index {
		return Position{}, false
	}
	e := l.entry(index)
	return Position{Index: index, Term: e.Term}, true
}

// has reports whether p is the position of an entry in the log or of its base.
func (l *entryLog) has(p Position) bool {
	held, ok := l.position(p.Index)
	return ok && held == p
}

// entry returns the entry at an index, which must be in the log.
func (l *entryLog) entry(index uint64) Entry {
	return l.entries[index-l.base.Index-1]
}

// from returns the entries from an index on, up to a total size in bytes, but at least one. It
// returns nil if the index is after the last entry.
func (l *entryLog) from(index uint64, limit int) []Entry {
	if index > l.last().Index {
		return nil
	}
	start := index - l.base.Index - 1
	size := 0
	end := start
	for end < uint64(len(l.entries)) {
		size += len(l.entries[end].Data) + entryOverhead
		if end > start && size > limit {
			break
		}
		end++
	}
	return l.entries[start:end]
}

// push appends entries that follow the last one.
func (l *entryLog) push(entries []Entry) {
	for _, e := range entries {
		l.bytes += len(e.Data) + entryOverhead
		if l.commandNumber == nil || e.Kind != EntryCommand {
			continue
		}
		if m := l.commandNumber(e.Data); m != 0 {
			l.commandNumbers[e.Index] = m
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from an index on.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base.Index - 1
	for _, e := range l.entries[keep:] {
		l.bytes -= len(e.Data) + entryOverhead
		delete(l.commandNumbers, e.Index)
	}
	// The capacity is cut too, so that later appends do not overwrite entries that were
	// returned before.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// compact removes the entries up to an index. It does nothing if the index is not in the log.
func (l *entryLog) compact(index uint64) {
	p, ok := l.position(index)
	if !ok {
		return
	}
	kept := append([]Entry(nil), l.entries[index-l.base.Index:]...)
	l.reset(p, kept)
}

// reset replaces the log with entries that follow base.
func (l *entryLog) reset(base Position, entries []Entry) {
	stable := max(l.stable, base.Index)
	l.base = base
	l.entries = nil
	l.bytes = 0
	l.commandNumbers = map[uint64]uint64{}
	l.push(entries)
	l.stable = min(stable, l.last().Index)
}

// unstable returns the entries that storage has not synced.
func (l *entryLog) unstable() []Entry {
	return l.entries[l.stable-l.base.Index:]
}

// pending returns the largest command number of the entries after the commit index. It removes the
// numbers up to that index.
func (l *entryLog) pending(commit uint64) uint64 {
	largest := uint64(0)
	for index, m := range l.commandNumbers {
		if index <= commit {
			delete(l.commandNumbers, index)
			continue
		}
		largest = max(largest, m)
	}
	return largest
}
