package disk

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

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

// decodeRecords decodes the records of a log file and returns the length of the
// valid prefix. A torn record at the end of the file is ignored; corruption
// anywhere else is an error.
func decodeRecords(path string, data []byte) (records []record, valid int64, err error) {
	offset := 0
	for offset < len(data) {
		rest := data[offset:]
		if len(rest) < headerBytes || allZero(rest) {
			return records, int64(offset), nil
		}
		corrupt := &CorruptError{Path: path, Offset: int64(offset)}
		if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
			corrupt.Reason = "header checksum mismatch"
			return nil, 0, corrupt
		}
		size := int(binary.LittleEndian.Uint32(rest))
		if size > maxRecordBytes {
			corrupt.Reason = fmt.Sprintf("record length of %d bytes exceeds the limit of %d bytes", size, maxRecordBytes)
			return nil, 0, corrupt
		}
		if headerBytes+size > len(rest) {
			return records, int64(offset), nil
		}
		payload := rest[headerBytes : headerBytes+size]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
			if headerBytes+size == len(rest) || allZero(rest[headerBytes+size:]) {
				return records, int64(offset), nil
			}
			corrupt.Reason = "payload checksum mismatch"
			return nil, 0, corrupt
		}
		r, err := decodePayload(payload)
		if err != nil {
			corrupt.Reason = err.Error()
			return nil, 0, corrupt
		}
		r.offset = int64(offset)
		records = append(records, r)
		offset += headerBytes + size
	}
	return records, int64(offset), nil
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
