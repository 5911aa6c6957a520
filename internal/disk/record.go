package disk

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// Each record is a header of three little-endian uint32 (payload length,
// CRC-32C of the payload, CRC-32C of the first eight header bytes) and a
// payload: an encoded wire.LogRecord, or JSON as written by earlier versions.
const (
	headerBytes = 12
	// maxRecordBytes bounds the payload of one record.
	maxRecordBytes = 1 << 30
	// jsonPrefix is the first byte of a JSON payload. An encoded
	// wire.LogRecord never starts with it.
	jsonPrefix = '{'
	// zeroChunkBytes is how much of a log is looked at at a time for bytes that are not zero.
	zeroChunkBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the unit of one synced write to the log.
type record struct {
	HardState *quorum.HardState `json:",omitempty"`
	// Entries replace all earlier entries whose index is equal to or above that
	// of the first one.
	Entries []quorum.Entry `json:",omitempty"`
	// offset is the position of the record in the log that it was read from.
	offset int64
}

// CorruptError reports a corrupt file. A record that was only partly written at
// the end of the log is not corruption.
type CorruptError struct {
	Path   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: corrupt record at offset %d: %s", e.Path, e.Offset, e.Reason)
}

func encodeRecord(r record) ([]byte, error) {
	w := &wire.LogRecord{Entries: wire.FromEntries(r.Entries)}
	if h := r.HardState; h != nil {
		w.HasHardState, w.Term, w.Vote, w.Leader = true, h.Term, string(h.Vote), string(h.Leader)
	}
	payload, err := proto.Marshal(w)
	if err != nil {
		return nil, rollout.NewError(rollout.KindStorage, "encode record").WithCause(err)
	}
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(out[:8], castagnoli))
	return append(out, payload...), nil
}

// readRecords passes the records of a log of a size to handle, one at a time, and returns the
// length of the valid prefix. A torn record at the end of the log is ignored; corruption
// anywhere else is an error.
func readRecords(path string, log io.ReaderAt, length int64, handle func(record) error) (valid int64, err error) {
	var buf []byte
	for offset := int64(0); ; {
		header := make([]byte, min(headerBytes, length-offset))
		if _, err := log.ReadAt(header, offset); err != nil && !errors.Is(err, io.EOF) {
			return 0, storageError("read log", err)
		}
		if len(header) < headerBytes {
			return offset, nil
		}
		corrupt := &CorruptError{Path: path, Offset: offset}
		if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
			zero, err := isZero(log, offset, length)
			if zero || err != nil {
				return offset, err
			}
			corrupt.Reason = "header checksum mismatch"
			return 0, corrupt
		}
		size := int64(binary.LittleEndian.Uint32(header))
		if size > maxRecordBytes {
			corrupt.Reason = fmt.Sprintf("record length of %d bytes exceeds the limit of %d bytes", size, maxRecordBytes)
			return 0, corrupt
		}
		end := offset + headerBytes + size
		if end > length {
			return offset, nil
		}
		if int64(cap(buf)) < size {
			buf = make([]byte, size)
		}
		payload := buf[:size]
		if _, err := log.ReadAt(payload, offset+headerBytes); err != nil && !errors.Is(err, io.EOF) {
			return 0, storageError("read log", err)
		}
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
			zero, err := isZero(log, end, length)
			if zero || err != nil {
				return offset, err
			}
			corrupt.Reason = "payload checksum mismatch"
			return 0, corrupt
		}
		r, err := decodePayload(payload)
		if err != nil {
			corrupt.Reason = err.Error()
			return 0, corrupt
		}
		r.offset = offset
		if err := handle(r); err != nil {
			return 0, err
		}
		offset = end
	}
}

// isZero reports whether the rest of a log from an offset on holds only zeros, as it does where
// a write was lost.
func isZero(log io.ReaderAt, offset, length int64) (bool, error) {
	chunk := make([]byte, zeroChunkBytes)
	for offset < length {
		n := min(int64(len(chunk)), length-offset)
		if _, err := log.ReadAt(chunk[:n], offset); err != nil && !errors.Is(err, io.EOF) {
			return false, storageError("read log", err)
		}
		if !allZero(chunk[:n]) {
			return false, nil
		}
		offset += n
	}
	return true, nil
}

func decodePayload(payload []byte) (record, error) {
	var r record
	if len(payload) > 0 && payload[0] == jsonPrefix {
		return r, json.Unmarshal(payload, &r)
	}
	var w wire.LogRecord
	if err := proto.Unmarshal(payload, &w); err != nil {
		return r, err
	}
	if w.HasHardState {
		r.HardState = &quorum.HardState{Term: w.Term, Vote: quorum.MemberID(w.Vote), Leader: quorum.MemberID(w.Leader)}
	}
	r.Entries = wire.ToEntries(w.Entries)
	return r, nil
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
