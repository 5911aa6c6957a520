package job

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
)

const (
	// noItems and noBody stand for the items of a spec and the body of an item in encodings
	// without them. A text cannot hold them, as its quotes are escaped there.
	noItems = `"Items":null`
	noBody  = `"Body":null`
	// ItemBytes is the memory of an item beside its bodies and headers. Its encoding is no
	// longer.
	ItemBytes = 512
)

// EncodeJSON returns the JSON encoding of a spec. Bodies are encoded into a buffer of the length
// of the whole, as the encoder of the standard library would take a multiple of it.
func (s Spec) EncodeJSON() ([]byte, error) {
	items := s.Items
	s.Items = nil
	frame, err := json.Marshal(s)
	if err != nil || len(items) == 0 {
		return frame, err
	}
	before, after, _ := bytes.Cut(frame, []byte(noItems))
	size := len(frame)
	for _, it := range items {
		size += it.encodedBytes()
	}
	buf := append(make([]byte, 0, size), before...)
	buf = append(buf, `"Items":[`...)
	for i, it := range items {
		if i > 0 {
			buf = append(buf, ',')
		}
		if buf, err = it.appendJSON(buf); err != nil {
			return nil, err
		}
	}
	buf = append(buf, ']')
	return append(buf, after...), nil
}

// appendJSON appends the JSON encoding of an item.
func (it Item) appendJSON(buf []byte) ([]byte, error) {
	body := it.Body
	it.Body = nil
	frame, err := json.Marshal(it)
	if err != nil || body == nil {
		return append(buf, frame...), err
	}
	before, after, _ := bytes.Cut(frame, []byte(noBody))
	buf = append(append(buf, before...), `"Body":"`...)
	buf = base64.StdEncoding.AppendEncode(buf, body)
	return append(append(buf, '"'), after...), nil
}

// Bytes returns the memory of the items of a spec.
func (s Spec) Bytes() int64 {
	var n int64
	for _, it := range s.Items {
		n += ItemBytes + int64(len(it.Body))
		for _, h := range it.Headers {
			n += int64(len(h.Name) + len(h.Value))
		}
		if it.Scorer != nil {
			n += int64(len(it.Scorer.Body))
		}
	}
	return n
}

// encodedBytes estimates the length of the encoding of an item.
func (it Item) encodedBytes() int {
	n := ItemBytes + base64.StdEncoding.EncodedLen(len(it.Body))
	for _, h := range it.Headers {
		n += len(h.Name) + len(h.Value) + ItemBytes/8
	}
	if it.Scorer != nil {
		n += base64.StdEncoding.EncodedLen(len(it.Scorer.Body))
	}
	return n
}
