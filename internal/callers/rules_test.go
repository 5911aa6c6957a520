package callers_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// rootDir is the root of the module.
const rootDir = "../.."

// eachSource calls visit with each source file of the daemons.
func eachSource(t *testing.T, visit func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(rootDir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, rootDir+"/"))
		if entry.IsDir() {
			switch name {
			// Stand-ins and the demo serve tests, and no other clients.
			case "review", "internal/cmds", "internal/demo", "internal/replytest", ".git", ".tools":
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		visit(name, string(text))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a listener that bounds nothing: each server is made by this package, or passed
// through it.
func TestEveryServerIsLimited(t *testing.T) {
	t.Parallel()
	servers := 0
	eachSource(t, func(path, text string) {
		isOwn := strings.HasPrefix(path, "internal/callers/")
		if strings.Contains(text, "http.Server{") {
			servers++
			if !isOwn && !strings.Contains(text, "callers.LimitFastHTTP(") {
				t.Errorf("%s has a server without the limits of this package", path)
			}
		}
		if isOwn {
			return
		}
		if strings.Contains(text, "http.ListenAndServe") || strings.Contains(text, "http.Serve(") {
			t.Errorf("%s serves without the limits of this package", path)
		}
	})
	if servers < 3 {
		t.Fatalf("found %d servers, want at least 3: the search is broken", servers)
	}
}

// Guards against responses that are not judged: each client uses the transport that does.
func TestEveryClientJudgesResponses(t *testing.T) {
	t.Parallel()
	transports := 0
	eachSource(t, func(path, text string) {
		if strings.Contains(text, "http.Transport{") {
			transports++
			if !strings.Contains(text, "reply.NewTransport(&http.Transport{") {
				t.Errorf("%s has a transport that does not judge responses", path)
			}
		}
		for _, client := range []string{"http.DefaultClient", "http.DefaultTransport", "http.Get(", "http.Post(", "http.Client{}", "http.ReadResponse(", "fasthttp.Client{", "fasthttp.HostClient{"} {
			if strings.Contains(text, client) {
				t.Errorf("%s uses %s, whose responses are not judged", path, client)
			}
		}
	})
	if transports < 2 {
		t.Fatalf("found %d transports, want at least 2: the search is broken", transports)
	}
}
