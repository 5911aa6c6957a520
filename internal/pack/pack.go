// Package pack compresses bodies that are sent between failure domains or stored
// in the log.
package pack

import (
	"slices"

	"github.com/klauspost/compress/zstd"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// minCompressBytes is the smallest body that is compressed; compression
	// saves nothing below it.
	minCompressBytes = 256
	// largeBytes is the size from which a buffer is made for the whole of a packed body, instead
	// of growing by copies.
	largeBytes = 1 << 20
	// encoderWindowBytes limits the memory of the encoder.
	encoderWindowBytes = 256 << 10
	// maxUnpackedBytes limits the size of an unpacked body.
	maxUnpackedBytes = 256 << 20

	// The first byte of a packed body is its format.
	formatPlain = 0
	formatZstd  = 1
)

// Packer compresses and decompresses bodies. It is safe for concurrent use.
type Packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a Packer with its own encoder and decoder.
func New() *Packer {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(encoderWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("pack: invalid encoder options: " + err.Error())
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic("pack: invalid decoder options: " + err.Error())
	}
	return &Packer{encoder: encoder, decoder: decoder}
}

// AppendPack appends what Pack returns to a buffer.
func (p *Packer) AppendPack(buf, data []byte) []byte {
	start := len(buf)
	if len(data) >= minCompressBytes {
		if len(data) > largeBytes {
			buf = slices.Grow(buf, len(data)+1)
		}
		packed := p.encoder.EncodeAll(data, append(buf, formatZstd))
		if len(packed)-start < len(data) {
			return packed
		}
		buf = packed[:start]
	}
	return append(append(buf, formatPlain), data...)
}

// Pack returns data with a leading format byte, compressed if that saves space.
func (p *Packer) Pack(data []byte) []byte { return p.AppendPack(nil, data) }

// Unpack returns the data that Pack was given. Data that was not compressed is
// returned as a part of packed, not as a copy.
func (p *Packer) Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, rollout.NewError(rollout.KindInvalidInput, "packed body is empty")
	}
	switch packed[0] {
	case formatPlain:
		return packed[1:], nil
	case formatZstd:
		data, err := p.decoder.DecodeAll(packed[1:], nil)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "decompress packed body").WithCause(err)
		}
		return data, nil
	}
	return nil, rollout.NewError(rollout.KindInvalidInput, "packed body has unknown format %d", packed[0])
}
