package disk

import (
	"encoding/binary"
	"hash/crc32"
)

const frameBytes = 4

// frame puts a checksum before the data of a whole file.
func frame(data []byte) []byte {
	out := make([]byte, frameBytes, frameBytes+len(data))
	binary.LittleEndian.PutUint32(out, crc32.Checksum(data, castagnoli))
	return append(out, data...)
}

func unframe(path string, data []byte) ([]byte, error) {
	if len(data) < frameBytes {
		return nil, &CorruptError{Path: path, Reason: "short file"}
	}
	if crc32.Checksum(data[frameBytes:], castagnoli) != binary.LittleEndian.Uint32(data) {
		return nil, &CorruptError{Path: path, Reason: "checksum"}
	}
	return data[frameBytes:], nil
}
