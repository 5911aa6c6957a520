package balance

import (
	"errors"
	"io"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// maxResponseBytes limits a response that is buffered in memory.
	maxResponseBytes = 8 << 20
	// freeResponseBytes is the length up to which a response does not count towards
	// maxBufferedBytes.
	freeResponseBytes = 64 << 10
	// maxBufferedBytes limits the longer responses that are being read at a time.
	maxBufferedBytes = 12 << 20
	// chunkBytes is the size of the chunks in which a body is read.
	chunkBytes = 16 << 10
)

// chunks holds buffers of chunkBytes. Bodies that are cut off would leave their memory to
// the garbage collector, which lets the heap grow to twice its size first.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// readAll reads a body to its end. It fails if the body is too long, or if too many long
// bodies are being read.
func readAll(body io.Reader, buffered *budget.Bytes) ([]byte, error) {
	var read []*[chunkBytes]byte
	total, lease := 0, buffered.Open()
	defer func() {
		lease.Release()
		for _, c := range read {
			chunks.Put(c)
		}
	}()
	for {
		if total >= freeResponseBytes {
			if err := lease.Take(chunkBytes); err != nil {
				return nil, err
			}
		}
		c := chunks.Get().(*[chunkBytes]byte)
		read = append(read, c)
		n, err := fill(body, c[:])
		total += n
		switch {
		case total > maxResponseBytes:
			return nil, rollout.NewError(rollout.KindTruncated, "the response is longer than %d bytes", maxResponseBytes)
		case err == nil:
		case errors.Is(err, io.EOF):
			return join(read, total), nil
		default:
			return nil, err
		}
	}
}

// join copies the first bytes of chunks that are full but for the last one.
func join(chunks []*[chunkBytes]byte, total int) []byte {
	data := make([]byte, 0, total)
	for _, c := range chunks {
		data = append(data, c[:min(chunkBytes, total-len(data))]...)
	}
	return data
}

// fill reads until a chunk is full. Unlike io.ReadFull it returns io.EOF only at the end of
// the body, so that a truncated body, whose error is io.ErrUnexpectedEOF, is told apart.
func fill(body io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		read, err := body.Read(chunk[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
