package job

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// requestDigestBytes is the size of the digest of a request.
const requestDigestBytes = 16

// TextSet holds the stored texts of items, at most one an owner. The slices are immutable.
type TextSet map[TextKey][]GeneratedText

// snapshotText is a text in a snapshot.
type snapshotText struct {
	Key  TextKey
	Text GeneratedText
}

// HasUnusedSince reports whether a text was last used before a time.
func (s TextSet) HasUnusedSince(timeMS rollout.Millis) bool {
	for _, texts := range s {
		if slices.ContainsFunc(texts, func(t GeneratedText) bool { return t.UsedMS < timeMS }) {
			return true
		}
	}
	return false
}

// deleteUnusedSince deletes the texts that were last used before a time.
func (s TextSet) deleteUnusedSince(timeMS rollout.Millis) {
	for k := range s {
		s.deleteFunc(k, func(t GeneratedText) bool { return t.UsedMS < timeMS })
	}
}

// deleteFunc deletes the texts of an item for which del returns true.
func (s TextSet) deleteFunc(k TextKey, del func(GeneratedText) bool) {
	if kept := slices.DeleteFunc(slices.Clone(s[k]), del); len(kept) > 0 {
		s[k] = kept
	} else {
		delete(s, k)
	}
}

// entries returns all texts.
func (s TextSet) entries() []snapshotText {
	entries := make([]snapshotText, 0, len(s))
	for k, texts := range s {
		for _, t := range texts {
			entries = append(entries, snapshotText{k, t})
		}
	}
	return entries
}

// get returns the text of an item that belongs to an owner, or an empty one.
func (s TextSet) get(k TextKey, owner string) GeneratedText {
	for _, t := range s[k] {
		if t.Owner == owner {
			return t
		}
	}
	return GeneratedText{}
}

// set replaces the text of an item that belongs to the owner of t.
func (s TextSet) set(k TextKey, t GeneratedText) {
	others := slices.DeleteFunc(slices.Clone(s[k]), func(o GeneratedText) bool { return o.Owner == t.Owner })
	s[k] = append(others, t)
}

// RequestDigest returns the digest of the request of an item: of everything that its text
// depends on. An item ID alone does not identify a request, as it may be used again.
func RequestDigest(spec *Spec, item *Item) []byte {
	h := sha256.New()
	write := func(part []byte) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	write([]byte(spec.Model))
	write([]byte(item.Path))
	for _, f := range item.Headers {
		write([]byte(f.Name))
		write([]byte(f.Value))
	}
	write(item.Body)
	return h.Sum(nil)[:requestDigestBytes]
}

// Text returns the stored text of an item of a job, or an empty one.
func (m *StateMachine) Text(j *Job, itemID string) GeneratedText {
	return m.Texts.get(j.textKey(itemID), j.textOwner())
}

// copyTexts gives a new job copies of the texts that other jobs have stored for the same
// requests. Texts of jobs that have ended are moved instead.
func (m *StateMachine) copyTexts(j *Job) {
	for i := range j.Spec.Items {
		k := j.textKey(j.Spec.Items[i].ID)
		if len(m.Texts[k]) == 0 {
			continue
		}
		t, ok := longestText(m.Texts[k], RequestDigest(&j.Spec, &j.Spec.Items[i]), j.Spec.MinVersion)
		if !ok {
			continue
		}
		if former := m.Jobs[t.Owner]; former == nil || former.Ended {
			m.Texts.deleteFunc(k, func(o GeneratedText) bool { return o.Owner == t.Owner })
		}
		t.Owner, t.JobID, t.UsedMS = j.Spec.ID, j.Spec.ID, max(t.UsedMS, j.Spec.SubmittedMS)
		m.Texts.set(k, t)
	}
}

// longestText returns the longest text for a request that a job with a minimum weight version
// may use. Of two with the same length, a complete one is returned.
func longestText(texts []GeneratedText, request []byte, minVersion uint64) (longest GeneratedText, ok bool) {
	for _, t := range texts {
		if !bytes.Equal(t.Request, request) || !VersionsAllowed(t.Versions, minVersion, false) {
			continue
		}
		if !ok || t.LastID > longest.LastID || (t.LastID == longest.LastID && t.Complete) {
			longest, ok = t, true
		}
	}
	return longest, ok
}

func (j *Job) textKey(itemID string) TextKey { return TextKey{j.Spec.Account, itemID} }

// textOwner returns the owner of the texts of a job.
func (j *Job) textOwner() string {
	if j.Spec.OwnTexts {
		return j.Spec.ID
	}
	return ""
}
