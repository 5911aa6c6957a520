package agent

import (
	"bytes"
	"encoding/json"
	"slices"
)

const (
	eventPrefix = "data:"
	eventDone   = "[DONE]"
	// maxLineBytes bounds the part of an event that is held back for the next
	// read.
	maxLineBytes = 4 << 20
)

// engineEvent is the part of an engine's answer that the agent reads.
type engineEvent struct {
	WeightVersion *uint64 `json:"weight_version"`
	Usage         *struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

// observer reads weight versions and token counts out of an engine's answer
// as it passes.
type observer struct {
	// streamed answers are server-sent events, others one JSON document.
	streamed bool
	held     []byte
	// versions in the order of their first use.
	versions []uint64
	input    uint64
	output   uint64
	// done is true once the end marker of a stream was seen.
	done bool
}

// add takes the next bytes of the answer.
func (o *observer) add(data []byte) {
	o.held = append(o.held, data...)
	if !o.streamed {
		return
	}
	for {
		i := bytes.IndexByte(o.held, '\n')
		if i < 0 {
			break
		}
		o.line(bytes.TrimSpace(o.held[:i]))
		o.held = o.held[i+1:]
	}
	if len(o.held) > maxLineBytes {
		o.held = nil
	}
}

// finish reads a document that is now whole.
func (o *observer) finish() {
	if !o.streamed {
		o.event(o.held)
		o.done = true
	}
	o.held = nil
}

func (o *observer) line(line []byte) {
	rest, ok := bytes.CutPrefix(line, []byte(eventPrefix))
	if !ok {
		return
	}
	rest = bytes.TrimSpace(rest)
	if string(rest) == eventDone {
		o.done = true
		return
	}
	o.event(rest)
}

func (o *observer) event(data []byte) {
	var e engineEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return
	}
	if e.WeightVersion != nil && !slices.Contains(o.versions, *e.WeightVersion) {
		o.versions = append(o.versions, *e.WeightVersion)
	}
	if e.Usage != nil {
		o.input = e.Usage.PromptTokens
		o.output = e.Usage.CompletionTokens
	}
}
