package pack_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
)

func TestPackRoundTrip(t *testing.T) {
	p := pack.New()
	for _, body := range []string{"", "short", strings.Repeat("the same words ", 1_000)} {
		got, err := p.Unpack(p.Pack([]byte(body)))
		if err != nil || !bytes.Equal(got, []byte(body)) {
			t.Fatalf("body of %d bytes unpacked to %d bytes, error %v", len(body), len(got), err)
		}
	}
}

func TestRepetitiveBodiesAreCompressed(t *testing.T) {
	body := []byte(strings.Repeat("the same words ", 1_000))
	if got := len(pack.New().Pack(body)); got > len(body)/10 {
		t.Fatalf("%d bytes packed into %d, want at most a tenth", len(body), got)
	}
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	for _, body := range [][]byte{nil, {9}, {1, 2, 3}} {
		if _, err := pack.New().Unpack(body); err == nil {
			t.Errorf("unpacked %v", body)
		}
	}
}
