package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// puller is a trainer that a test drives step by step.
type puller struct {
	d      *deployment
	cursor uint64
}

type pulled struct {
	Position uint64
	Index    int
	Versions []uint64
	Void     string
}

func (p *puller) publish(version uint64) {
	p.d.t.Helper()
	p.send("weights", fmt.Sprintf(`{"Version":%d}`, version))
}

func (p *puller) post(step string, samples int) {
	p.d.t.Helper()
	p.send("steps", fmt.Sprintf(`{"Step":%q,"Samples":%d,"MaxTokens":8,"Prompts":["a","b","c"]}`, step, samples))
}

func (p *puller) send(what, body string) {
	p.d.t.Helper()
	eventually(p.d.t, what, patience, func() bool {
		r, err := p.d.post(0, "/v1/rollouts/drafts/"+what, "cfs_trainer", "", body)
		return err == nil && r.status == http.StatusOK
	})
}

func (p *puller) pull() []pulled {
	url := fmt.Sprintf("%s/v1/rollouts/drafts/samples?After=%d&WaitMS=500", p.d.layout.EntryURLs[0], p.cursor)
	req, err := http.NewRequestWithContext(p.d.t.Context(), http.MethodGet, url, nil)
	must(p.d.t, err)
	req.Header.Set("Authorization", "Bearer cfs_trainer")
	resp, err := http.DefaultClient.Do(req)
	must(p.d.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must(p.d.t, err)
	var a struct{ Samples []pulled }
	must(p.d.t, json.Unmarshal(data, &a))
	return a.Samples
}

// assertFresh pulls until the step is whole and checks that each sample was
// made by the wanted version only.
func (p *puller) assertFresh(t *testing.T, version uint64, samples int) {
	t.Helper()
	got := make(map[int]bool)
	eventually(t, "the step is whole", patience, func() bool {
		for _, s := range p.pull() {
			p.cursor = s.Position
			if s.Void != "" {
				continue
			}
			if got[s.Index] {
				t.Fatalf("index %d came twice", s.Index)
			}
			got[s.Index] = true
			for _, v := range s.Versions {
				if v != version {
					t.Fatalf("sample %+v, want version %d", s, version)
				}
			}
		}
		return len(got) == samples
	})
}
