package cmd

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"coltsfootspoke": func() { os.Exit(Main(os.Args[1:], Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			return os.Chmod(env.WorkDir, 0o700)
		},
	})
}
