package upstream

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

// Observer reads weight versions and token counts out of an engine's answer
// as it passes.
type Observer struct {
	// Streamed answers are server-sent events, others one JSON document.
	Streamed bool
	held     []byte
	// Versions in the order of their first use.
	Versions []uint64
	// Input and Output count tokens.
	Input, Output uint64
	// done is true once the end marker of a stream was seen.
	done bool
}

// Add takes the next bytes of the answer.
func (o *Observer) Add(data []byte) {
	o.held = append(o.held, data...)
	if !o.Streamed {
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
func (o *Observer) finish() {
	if !o.Streamed {
		o.event(o.held)
		o.done = true
	}
	o.held = nil
}

func (o *Observer) line(line []byte) {
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

func (o *Observer) event(data []byte) {
	var e engineEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return
	}
	if e.WeightVersion != nil && !slices.Contains(o.Versions, *e.WeightVersion) {
		o.Versions = append(o.Versions, *e.WeightVersion)
	}
	if e.Usage != nil {
		o.Input = e.Usage.PromptTokens
		o.Output = e.Usage.CompletionTokens
	}
}
