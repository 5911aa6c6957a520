package job

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Part is a part of the items of a job that is too long for one command. The parts of a job are
// committed in order, and then its submission.
type Part struct {
	JobID   string
	Account string
	// Number is the number of parts before this one.
	Number int
	// Bytes is a part of a stream of items, which may end anywhere.
	Bytes []byte
	// Digest is the digest of the stream up to the end of this part.
	Digest uint64
	// Memory is the expected memory of all items of the job.
	Memory int64
}

// StagedItems identifies the parts that hold the items of a submission.
type StagedItems struct {
	// Parts is the number of parts, and Digest that of the whole stream.
	Parts  int
	Digest uint64
	// Items is the number of items.
	Items int
}

// Upload holds the items of a job that is being submitted in parts. It is no job yet: nothing of
// it runs, and it may be dropped.
type Upload struct {
	Account string
	// Memory is the expected memory of all items.
	Memory int64
	// Digests holds the digest of each part.
	Digests []uint64
	// TouchedMS is when the host last heard of the upload, by its own clock. It is not
	// replicated.
	TouchedMS rollout.Millis `cbor:"-"`
	// items holds the complete items of the parts.
	items  []Item
	reader itemReader
}

// DropUploads drops uploads that were given up.
type DropUploads struct {
	JobIDs []string
}

// addPart adds a part to the upload of a job. A part that is known changes nothing.
func (m *StateMachine) addPart(p Part) error {
	if old := m.Jobs[p.JobID]; old != nil {
		return old.checkAccount(p.Account)
	}
	u := m.Uploads[p.JobID]
	if u == nil {
		u = &Upload{Account: p.Account, Memory: p.Memory}
	}
	switch {
	case u.Account != p.Account:
		return rollout.NewError(rollout.KindConflict, "job %s is being submitted by another client account", p.JobID)
	case p.Number > len(u.Digests):
		return rollout.NewError(rollout.KindUnavailable, "part %d of job %s follows part %d", p.Number, p.JobID, len(u.Digests)-1)
	case p.Number < len(u.Digests):
		if u.Digests[p.Number] != p.Digest {
			return rollout.NewError(rollout.KindConflict, "job %s is being submitted with other items", p.JobID)
		}
		return nil
	}
	if err := u.reader.read(p.Bytes, func(it Item) { u.items = append(u.items, it) }); err != nil {
		delete(m.Uploads, p.JobID)
		return err
	}
	u.Digests = append(u.Digests, p.Digest)
	m.Uploads[p.JobID] = u
	return nil
}

// takeUpload returns the items of a submission in parts and ends its upload.
func (m *StateMachine) takeUpload(s Spec) ([]Item, error) {
	u := m.Uploads[s.ID]
	if u == nil || u.Account != s.Account || !u.isComplete(*s.Staged) {
		return nil, rollout.NewError(rollout.KindOverloaded, "the items of job %s are not complete any more", s.ID)
	}
	delete(m.Uploads, s.ID)
	return u.items, nil
}

// isComplete reports whether the upload holds the items of a submission.
func (u *Upload) isComplete(s StagedItems) bool {
	return len(u.Digests) == s.Parts && len(u.items) == s.Items && u.reader.isBetweenItems() &&
		s.Parts > 0 && u.Digests[s.Parts-1] == s.Digest
}

func (m *StateMachine) dropUploads(d DropUploads) {
	for _, id := range d.JobIDs {
		delete(m.Uploads, id)
	}
}

// freeze returns a copy of the upload that later parts do not change.
func (u *Upload) freeze() Upload {
	c := *u
	c.Digests, c.items = slices.Clip(u.Digests), slices.Clip(u.items)
	c.reader.fields = slices.Clip(u.reader.fields)
	return c
}
