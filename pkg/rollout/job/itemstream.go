package job

import (
	"encoding/binary"
	"io"
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// maxFieldBytes limits the length of one field of an item in a stream. It is several times the
// longest body of a request.
const maxFieldBytes = 256 << 20

// An item in a stream consists of fields, each its length as an unsigned varint and its bytes:
// the CBOR encoding of the item without bodies and values of headers, its body, the body of its
// scorer, and the values. So what may be nearly as long as the stream is written and read
// without a copy.
const (
	fieldHead = iota
	fieldBody
	fieldScorerBody
	// fieldValues is the field of the value of the first header.
	fieldValues
)

// WriteItem writes an item to a stream of items.
func WriteItem(w io.Writer, it Item) error {
	head := it
	head.Body, head.Headers = nil, make([]HeaderField, len(it.Headers))
	for i, h := range it.Headers {
		head.Headers[i].Name = h.Name
	}
	var scorerBody []byte
	if it.Scorer != nil {
		s := *it.Scorer
		scorerBody, s.Body = s.Body, nil
		head.Scorer = &s
	}
	data, err := cbor.Marshal(head)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode item %s", it.ID).WithCause(err)
	}
	for _, field := range [...][]byte{data, it.Body, scorerBody} {
		if err := writeField(w, len(field), field); err != nil {
			return err
		}
	}
	for _, h := range it.Headers {
		if err := writeField(w, len(h.Value), unsafe.Slice(unsafe.StringData(h.Value), len(h.Value))); err != nil {
			return err
		}
	}
	return nil
}

// itemReader reads a stream of items that arrives in parts, which may end anywhere. Its zero
// value is ready for use.
type itemReader struct {
	// length holds the bytes of the length that is being read.
	length []byte
	// field is the field that is being read, with the capacity of the whole. It is nil before
	// its length is known.
	field []byte
	// fields holds the complete fields of the item that is being read.
	fields [][]byte
	// item is that item, as far as its fields are complete.
	item Item
}

// isBetweenItems reports whether the stream may end here.
func (r *itemReader) isBetweenItems() bool {
	return len(r.fields) == 0 && r.field == nil && len(r.length) == 0
}

// read reads a part of the stream and passes each complete item to add. The items do not
// refer to the part.
func (r *itemReader) read(part []byte, add func(Item)) error {
	for len(part) > 0 {
		if r.field == nil {
			r.length, part = append(r.length, part[0]), part[1:]
			size, n := binary.Uvarint(r.length)
			switch {
			case n < 0 || size > maxFieldBytes:
				return rollout.NewError(rollout.KindInvalidInput, "a field of an item has a length of %d bytes, the limit is %d", size, maxFieldBytes)
			case n == 0:
				continue
			}
			r.length, r.field = nil, make([]byte, 0, size)
		}
		n := min(len(part), cap(r.field)-len(r.field))
		r.field, part = append(r.field, part[:n]...), part[n:]
		if len(r.field) < cap(r.field) {
			return nil
		}
		if err := r.endField(add); err != nil {
			return err
		}
	}
	return nil
}

// endField ends the field that is being read, and the item with its last field.
func (r *itemReader) endField(add func(Item)) error {
	field, number := r.field, len(r.fields)
	r.fields, r.field = append(r.fields, field), nil
	switch number {
	case fieldHead:
		r.item = Item{}
		if err := cbor.Unmarshal(field, &r.item); err != nil {
			return rollout.NewError(rollout.KindInvalidInput, "decode item").WithCause(err)
		}
	case fieldBody:
		r.item.Body = orNil(field)
	case fieldScorerBody:
		if r.item.Scorer != nil {
			r.item.Scorer.Body = orNil(field)
		}
	default:
		// Nothing writes to the field any more.
		r.item.Headers[number-fieldValues].Value = unsafe.String(unsafe.SliceData(field), len(field))
	}
	if len(r.fields) < fieldValues+len(r.item.Headers) {
		return nil
	}
	add(r.item)
	r.fields, r.item = nil, Item{}
	return nil
}

// orNil returns nil for an empty field.
func orNil(field []byte) []byte {
	if len(field) == 0 {
		return nil
	}
	return field
}

// writePending writes what has been read of an item that is not complete.
func (r *itemReader) writePending(w io.Writer) error {
	for _, field := range r.fields {
		if err := writeField(w, len(field), field); err != nil {
			return err
		}
	}
	if r.field != nil {
		return writeField(w, cap(r.field), r.field)
	}
	_, err := w.Write(r.length)
	return err
}

// writeField writes the length of a field and the bytes of it that are known.
func writeField(w io.Writer, length int, bytes []byte) error {
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(length))); err != nil {
		return err
	}
	_, err := w.Write(bytes)
	return err
}
