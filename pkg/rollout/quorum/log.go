package quorum

import "slices"

// memoryLog holds the log entries after the last snapshot in memory.
type memoryLog struct {
	// snapIndex and snapTerm identify the last entry that the snapshot covers.
	snapIndex, snapTerm uint64
	// entries are contiguous and start at snapIndex+1.
	entries []Entry
}

func (l *memoryLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// compact discards the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.snapIndex {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.snapIndex:])
	l.snapIndex, l.snapTerm = index, term
}

func (l *memoryLog) lastIndex() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// reset replaces all entries with a snapshot that ends at index and term.
func (l *memoryLog) reset(index, term uint64) {
	l.snapIndex, l.snapTerm = index, term
	l.entries = nil
}

// slice returns the entries from index from on, limited to maxBytes of data but
// at least one entry. The result does not share spare capacity with the log.
func (l *memoryLog) slice(from uint64, maxBytes int) []Entry {
	if from <= l.snapIndex || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.snapIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// term returns the term of the entry at index. It returns false if the log does
// not know it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapIndex:
		return l.snapTerm, true
	case index < l.snapIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapIndex-1].Term, true
	}
}

// truncate discards the entries from index from on.
func (l *memoryLog) truncate(from uint64) {
	l.entries = slices.Clone(l.entries[:from-l.snapIndex-1])
}
