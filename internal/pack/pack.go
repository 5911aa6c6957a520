// Package pack compresses the bodies that travel between failure domains and
// into the log.
package pack

import (
	"github.com/klauspost/compress/zstd"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// minBytes is the size below which compression gains nothing.
	minBytes = 256
	// windowBytes bounds the memory of a compressor.
	windowBytes = 256 << 10
	// maxBytes bounds what a packed body may grow to.
	maxBytes = 256 << 20

	markPlain  = 0
	markPacked = 1
)

// Packer packs and unpacks bodies. It is safe for use by several threads.
type Packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a Packer.
func New() *Packer {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("pack: options of the encoder: " + err.Error())
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic("pack: options of the decoder: " + err.Error())
	}
	return &Packer{encoder: encoder, decoder: decoder}
}

// Pack returns the packed form of data.
func (p *Packer) Pack(data []byte) []byte {
	if len(data) >= minBytes {
		packed := p.encoder.EncodeAll(data, []byte{markPacked})
		if len(packed) < len(data) {
			return packed
		}
	}
	return append([]byte{markPlain}, data...)
}

// Unpack returns what was packed.
func (p *Packer) Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, rollout.NewError(rollout.KindInvalidInput, "empty body")
	}
	switch packed[0] {
	case markPlain:
		return packed[1:], nil
	case markPacked:
		data, err := p.decoder.DecodeAll(packed[1:], nil)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "packed body").WithCause(err)
		}
		return data, nil
	}
	return nil, rollout.NewError(rollout.KindInvalidInput, "body of unknown form %d", packed[0])
}
