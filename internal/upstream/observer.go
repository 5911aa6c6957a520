package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
)

const (
	eventPrefix = "data:"
	endMarker   = "[DONE]"
	// maxLineBytes limits the bytes of an incomplete line that are buffered until
	// the next call of Add. A longer line is discarded.
	maxLineBytes = 256 << 10
)

// engineEvent holds the fields of an engine's answer that the agent reads. The
// answer is one JSON document or a stream of events.
type engineEvent struct {
	WeightVersion *uint64 `json:"weight_version"`
	Usage         *struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

// Observer extracts weight versions and token counts from the answer of an engine
// while it is relayed.
type Observer struct {
	// Streamed is true if the answer is a stream of server-sent events, and false
	// if it is one JSON document.
	Streamed bool
	// pending holds the received bytes of a stream that are not parsed yet.
	pending []byte
	// skipping is true within a line that is too long, whose beginning was discarded.
	skipping bool
	// Versions lists the weight versions in the order of their first use.
	Versions []uint64
	// InputTokens and OutputTokens are the last token counts in the answer.
	InputTokens, OutputTokens uint64
	// done is true once the end marker of a stream or the end of a document has
	// been reached.
	done bool
}

// Add processes the next bytes of a stream.
func (o *Observer) Add(data []byte) {
	if o.skipping {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			return
		}
		data, o.skipping = data[i+1:], false
	}
	o.pending = append(o.pending, data...)
	for {
		i := bytes.IndexByte(o.pending, '\n')
		if i < 0 {
			break
		}
		o.parseLine(bytes.TrimSpace(o.pending[:i]))
		o.pending = o.pending[i+1:]
	}
	if len(o.pending) > maxLineBytes {
		o.pending, o.skipping = nil, true
	}
}

// finishDocument parses an answer that is one document.
func (o *Observer) finishDocument(document io.Reader) {
	var e engineEvent
	if err := json.NewDecoder(document).Decode(&e); err == nil {
		o.record(e)
	}
	o.done = true
}

func (o *Observer) parseLine(line []byte) {
	rest, ok := bytes.CutPrefix(line, []byte(eventPrefix))
	if !ok {
		return
	}
	rest = bytes.TrimSpace(rest)
	if string(rest) == endMarker {
		o.done = true
		return
	}
	o.parseEvent(rest)
}

// parseEvent reads one JSON document. It ignores a malformed one.
func (o *Observer) parseEvent(data []byte) {
	var e engineEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return
	}
	o.record(e)
}

// record records the fields of an event or document.
func (o *Observer) record(e engineEvent) {
	if e.WeightVersion != nil && !slices.Contains(o.Versions, *e.WeightVersion) {
		o.Versions = append(o.Versions, *e.WeightVersion)
	}
	if e.Usage != nil {
		o.InputTokens = e.Usage.PromptTokens
		o.OutputTokens = e.Usage.CompletionTokens
	}
}
