package job

import (
	"errors"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// formatWhole is the format of snapshots of earlier releases, whose jobs hold their items and
	// results.
	formatWhole = 0
	// formatStreams is the format in which the items of a job follow it as a stream, and its
	// results one by one, so that a snapshot is written and read in little memory.
	formatStreams = 1
	// chunkBytes is the length of the chunks of a stream in a snapshot.
	chunkBytes = 128 << 10
)

// snapshotHeader is the start of a snapshot: the numbers of jobs, texts and uploads that
// follow, and the parts of the state that are no maps.
type snapshotHeader struct {
	Format      int
	Jobs, Texts int
	Uploads     int
	Writer      string
	Paces       []Pace
	OrderHosts  []string
}

// snapshotJob is a job without items and results, which follow it.
type snapshotJob struct {
	Job     Job
	Results int
}

// snapshotUpload is an upload without items, which follow it.
type snapshotUpload struct {
	JobID  string
	Upload Upload
}

// Freeze returns a function that writes a snapshot of the current state. The
// function may be called from another goroutine while the state changes.
func (m *StateMachine) Freeze() func(w io.Writer) error {
	jobs := make([]Job, 0, len(m.Jobs))
	for _, j := range m.Jobs {
		jobs = append(jobs, Job{Spec: j.Spec, Total: j.Total, Results: slices.Clip(j.Results), Ended: j.Ended, Route: j.Route})
	}
	uploads := make([]snapshotUpload, 0, len(m.Uploads))
	for id, u := range m.Uploads {
		uploads = append(uploads, snapshotUpload{id, u.freeze()})
	}
	texts := m.Texts.entries()
	header := snapshotHeader{
		Format: formatStreams, Jobs: len(jobs), Texts: len(texts), Uploads: len(uploads),
		Writer: m.Writer, Paces: m.Paces, OrderHosts: m.OrderHosts,
	}
	return func(w io.Writer) error {
		e := cbor.NewEncoder(w)
		if err := e.Encode(header); err != nil {
			return err
		}
		for _, j := range jobs {
			if err := writeJob(e, j); err != nil {
				return err
			}
		}
		for _, t := range texts {
			if err := e.Encode(t); err != nil {
				return err
			}
		}
		for _, u := range uploads {
			if err := writeUpload(e, u); err != nil {
				return err
			}
		}
		return nil
	}
}

// Restore replaces the state with a snapshot.
func (m *StateMachine) Restore(r io.Reader) error {
	next, err := readSnapshot(cbor.NewDecoder(r))
	if err != nil {
		return rollout.NewError(rollout.KindStorage, "decode snapshot of jobs").WithCause(err)
	}
	*m = *next
	return nil
}

func readSnapshot(d *cbor.Decoder) (*StateMachine, error) {
	m := NewStateMachine()
	var h snapshotHeader
	if err := d.Decode(&h); err != nil {
		return nil, err
	}
	if h.Format > formatStreams {
		return nil, rollout.NewError(rollout.KindStorage, "snapshot has format %d, the newest known is %d", h.Format, formatStreams)
	}
	m.Writer, m.Paces, m.OrderHosts = h.Writer, h.Paces, h.OrderHosts
	for range h.Jobs {
		j, err := readJob(d, h.Format)
		if err != nil {
			return nil, err
		}
		j.index()
		m.Jobs[j.Spec.ID] = j
	}
	for range h.Texts {
		var t snapshotText
		if err := d.Decode(&t); err != nil {
			return nil, err
		}
		m.Texts.set(t.Key, t.Text)
	}
	for range h.Uploads {
		var u snapshotUpload
		if err := d.Decode(&u); err != nil {
			return nil, err
		}
		if err := readStream(d, &u.Upload.reader, func(it Item) { u.Upload.items = append(u.Upload.items, it) }); err != nil {
			return nil, err
		}
		m.Uploads[u.JobID] = &u.Upload
	}
	return m, nil
}

func writeJob(e *cbor.Encoder, j Job) error {
	items, results := j.Spec.Items, j.Results
	j.Spec.Items, j.Results = nil, nil
	err := e.Encode(snapshotJob{j, len(results)})
	if err != nil {
		return err
	}
	for _, r := range results {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return writeStream(e, items, &itemReader{})
}

func readJob(d *cbor.Decoder, format int) (*Job, error) {
	if format == formatWhole {
		j := &Job{}
		return j, d.Decode(j)
	}
	var s snapshotJob
	if err := d.Decode(&s); err != nil {
		return nil, err
	}
	for range s.Results {
		var r Result
		if err := d.Decode(&r); err != nil {
			return nil, err
		}
		s.Job.Results = append(s.Job.Results, r)
	}
	var reader itemReader
	err := readStream(d, &reader, func(it Item) { s.Job.Spec.Items = append(s.Job.Spec.Items, it) })
	return &s.Job, err
}

func writeUpload(e *cbor.Encoder, u snapshotUpload) error {
	if err := e.Encode(u); err != nil {
		return err
	}
	return writeStream(e, u.Upload.items, &u.Upload.reader)
}

// writeStream writes items, and what a reader has read of the next one, in chunks. An empty
// chunk follows the last one.
func writeStream(e *cbor.Encoder, items []Item, rest *itemReader) error {
	w := &chunkWriter{encoder: e}
	for _, it := range items {
		if err := WriteItem(w, it); err != nil {
			return err
		}
	}
	if err := rest.writePending(w); err != nil {
		return err
	}
	return errors.Join(w.flush(), e.Encode([]byte{}))
}

// readStream passes the chunks of a stream to a reader.
func readStream(d *cbor.Decoder, r *itemReader, add func(Item)) error {
	for {
		var chunk []byte
		if err := d.Decode(&chunk); err != nil || len(chunk) == 0 {
			return err
		}
		if err := r.read(chunk, add); err != nil {
			return err
		}
	}
}

// chunkWriter encodes what is written in chunks of chunkBytes.
type chunkWriter struct {
	encoder *cbor.Encoder
	buf     []byte
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	written := len(p)
	for len(p) > 0 {
		n := min(len(p), chunkBytes-len(w.buf))
		w.buf, p = append(w.buf, p[:n]...), p[n:]
		if len(w.buf) < chunkBytes {
			break
		}
		if err := w.flush(); err != nil {
			return 0, err
		}
	}
	return written, nil
}

// flush encodes the bytes that are left over.
func (w *chunkWriter) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	err := w.encoder.Encode(w.buf)
	w.buf = w.buf[:0]
	return err
}
