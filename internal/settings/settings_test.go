package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func FuzzLoad(f *testing.F) {
	f.Add(`{"Name":"a","FailureDomain":"d","Secret":"s","Address":"127.0.0.1:1","AdminAddress":"127.0.0.1:2","Control":["127.0.0.1:3"],"ListenAddress":"127.0.0.1:4"}`)
	f.Add(`{"Name":1}`)
	f.Add(`{"Control":["x"]}`)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "entry.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadEntry(path); err != nil && !strings.Contains(err.Error(), path) {
			t.Fatalf("error %v does not name the file", err)
		}
	})
}

func TestTextAfterSettingsIsRefused(t *testing.T) {
	const valid = `{"Name":"a","FailureDomain":"d","Secret":"s","Address":"127.0.0.1:1","AdminAddress":"127.0.0.1:2","Control":["127.0.0.1:3"],"ListenAddress":"127.0.0.1:4"}`
	for _, tc := range []struct{ name, after, want string }{
		{"Nothing", "", ""},
		{"WhiteSpace", " \n\t\n", ""},
		{"SecondObject", "\n {}", "entry.json:2:2: unexpected text after the settings"},
		{"Garbage", "x", "unexpected text after the settings"},
		{"Bracket", "}", "unexpected text after the settings"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.json")
			if err := os.WriteFile(path, []byte(valid+tc.after), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadEntry(path)
			if tc.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v, want %q", err, tc.want)
			}
		})
	}
}

func TestListenErrorNamesField(t *testing.T) {
	l, err := Listen("entry.json", "Address", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	_, err = Listen("entry.json", "Address", l.Addr().String())
	if err == nil || !strings.Contains(err.Error(), "entry.json: Address: ") || !strings.Contains(err.Error(), "in use") {
		t.Fatalf("error %v", err)
	}
}
