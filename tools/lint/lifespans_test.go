package lint

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// lifeSpans are the folders of the layout, the longest life first.
var lifeSpans = []string{"process", "version", "connection", "request"}

// TestLongerLivesDoNotImportShorterOnes reads the imports of every package that has a
// life span.
func TestLongerLivesDoNotImportShorterOnes(t *testing.T) {
	read := 0
	for own, folder := range lifeSpans {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			read++
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, spec := range file.Imports {
				name, _ := strconv.Unquote(spec.Path.Value)
				for _, shorter := range lifeSpans[own+1:] {
					if strings.HasPrefix(name, "quetzalknot/"+shorter+"/") {
						t.Errorf("%s imports %s, whose life is shorter", path, name)
					}
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if read == 0 {
		t.Fatal("no Go file was read")
	}
}
