package view

import (
	"reflect"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

func TestPackedDocumentIsUnpacked(t *testing.T) {
	packer := pack.New()
	want := document.Document{Version: 7, Pools: []document.Pool{{Name: "p", Models: []string{"m"}}}}
	packed, err := PackDocument(packer, want)
	if err != nil {
		t.Fatal(err)
	}
	r := Reply{PackedDocument: packed}
	if err := r.unpackDocument(packer); err != nil || !reflect.DeepEqual(*r.Document, want) {
		t.Fatalf("document %+v, error %v, want %+v", r.Document, err, want)
	}
	damaged := Reply{PackedDocument: []byte{9}}
	if err := damaged.unpackDocument(packer); err == nil || damaged.Document != nil {
		t.Fatalf("a damaged document was taken: %+v, error %v", damaged.Document, err)
	}
}
