// Package pack compresses bodies that are sent between failure domains or stored
// in the log.
package pack

import (
	"github.com/klauspost/compress/zstd"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// minCompressBytes is the smallest body that is compressed; compression
	// saves nothing below it.
	minCompressBytes = 256
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

// Pack returns data with a leading format byte, compressed if that saves space.
func (p *Packer) Pack(data []byte) []byte {
	if len(data) >= minCompressBytes {
		packed := p.encoder.EncodeAll(data, []byte{formatZstd})
		if len(packed) < len(data) {
			return packed
		}
	}
	return append([]byte{formatPlain}, data...)
}

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
