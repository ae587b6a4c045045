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

// lifetimes are the folders of packages, by the lifetime of the objects in them, from the
// longest to the shortest.
var lifetimes = []string{"process", "version", "connection", "request"}

// TestImportsFollowLifetimes checks that no package imports one from a folder with a
// shorter lifetime: an object must not depend on another that ends before it.
func TestImportsFollowLifetimes(t *testing.T) {
	read := 0
	for i, folder := range lifetimes {
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
				for _, shorter := range lifetimes[i+1:] {
					if strings.HasPrefix(name, "quetzalknot/"+shorter+"/") {
						t.Errorf("%s imports %s, which has a shorter lifetime", path, name)
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
