package job

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

func TestEncodedSpecDecodesToItself(t *testing.T) {
	item := Item{ID: "i", Path: "/p", Body: []byte("body"), Headers: []HeaderField{{Name: "N", Value: "v"}}, Scorer: &Scorer{ID: "s", Body: []byte("b")}}
	for name, spec := range map[string]Spec{
		"without items":     {ID: "j", Account: "a"},
		"one item":          {ID: "j", Items: []Item{item}},
		"several":           {ID: "j", Items: []Item{item, {ID: "k", Body: []byte(strings.Repeat("x", 10_000))}, item}, OwnTexts: true},
		"texts like itself": {ID: `"Items":null`, Account: noItems, Items: []Item{{ID: noItems + noBody, Path: noBody, Body: []byte(noBody)}, {Body: []byte{}}}},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := spec.EncodeJSON()
			if err != nil {
				t.Fatal(err)
			}
			var got Spec
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, spec) {
				t.Fatalf("got %+v, want %+v", got, spec)
			}
		})
	}
}
