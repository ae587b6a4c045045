// Package lint has checks of the source that other linters lack: exported items must have
// doc comments, and packages must not import packages with shorter-lived objects.
package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// root is the path of the workspace.
const root = "../.."

// TestExportedItemsHaveDocComments checks that every exported item outside of tests has a
// doc comment.
func TestExportedItemsHaveDocComments(t *testing.T) {
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, missing := range undocumented(file) {
			t.Errorf("%s: %s has no doc comment", set.Position(missing.Pos()), missing.Name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no Go file was read")
	}
}

func undocumented(file *ast.File) []*ast.Ident {
	var missing []*ast.Ident
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil && exportedReceiver(d) {
				missing = append(missing, d.Name)
			}
		case *ast.GenDecl:
			missing = append(missing, undocumentedSpecs(d)...)
		}
	}
	return missing
}

func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	typ := d.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if index, ok := typ.(*ast.IndexExpr); ok {
		typ = index.X
	}
	name, ok := typ.(*ast.Ident)
	return ok && name.IsExported()
}

func undocumentedSpecs(d *ast.GenDecl) []*ast.Ident {
	var missing []*ast.Ident
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && d.Doc == nil && s.Doc == nil {
				missing = append(missing, s.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					missing = append(missing, name)
				}
			}
		}
	}
	return missing
}
