package response_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Programs that stand in for others, and tests, may read responses as they like.
var exempt = []string{"load", "review", "soak", "standin"}

// Each HTTP client of the project reads responses by this package.
func TestAllClientsCheckResponses(t *testing.T) {
	files := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (slices.Contains(exempt, entry.Name()) || entry.Name() != ".." && entry.Name()[0] == '.'):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || path == "../upstream/exchange.go":
			return nil
		}
		files++
		for _, use := range findUnchecked(t, path, nil) {
			t.Error(use)
		}
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files were read, error %v", files, err)
	}
}

func TestUncheckedClientsAreFound(t *testing.T) {
	for _, test := range []struct {
		code string
		want int
	}{
		{`func f() { http.Get("") }`, 1},
		{`func f() { http.DefaultClient.Do(nil) }`, 1},
		{`var t = http.DefaultTransport.(*http.Transport).Clone()`, 1},
		{`var c = &http.Client{}`, 1},
		{`var c = http.Client{Timeout: 1}`, 1},
		{"var c = &http.Client{\n\tTimeout: 1,\n}", 1},
		{`var c = &http.Client{Transport: nil}`, 1},
		{`var c = new(http.Client)`, 1},
		{`var c http.Client`, 1},
		{`type c struct{ http http.Client }`, 1},
		{`var t = &http.Transport{}`, 1},
		{`var c = &http.Client{Transport: &http.Transport{}}`, 1},
		{`var t = other.NewTransport(&http.Transport{})`, 1},
		{`func f() { http.ReadResponse(nil, nil) }`, 1},
		{`var c = &http.Client{Transport: response.NewTransport(&http.Transport{})}`, 0},
		{`func f(c *http.Client, t *http.Transport) {}`, 0},
		{`var s = http.Server{}`, 0},
	} {
		for _, name := range []string{"http", "web"} {
			code := strings.ReplaceAll(test.code, "http.", name+".")
			if got := findUnchecked(t, "p.go", "package p\nimport "+name+" \"net/http\"\n"+code); len(got) != test.want {
				t.Errorf("%s: unexpected result %q", code, got)
			}
		}
	}
}

// findUnchecked returns the places in a Go file where a response may be read without this package. The source is read from
// the file if it is nil.
func findUnchecked(t *testing.T, path string, source any) []string {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	finder := clientFinder{http: importName(file, "net/http"), allowed: make(map[ast.Node]bool)}
	ast.Inspect(file, finder.visit)
	uses := make([]string, 0, len(finder.found))
	for _, use := range finder.found {
		uses = append(uses, fmt.Sprintf("%s: http.%s", files.Position(use.Pos()), use.Sel.Name))
	}
	return uses
}

// importName returns the name by which a file refers to an imported package, or an empty one.
func importName(file *ast.File, path string) string {
	for _, spec := range file.Imports {
		if imported, err := strconv.Unquote(spec.Path.Value); err != nil || imported != path {
			continue
		}
		if spec.Name != nil {
			return spec.Name.Name
		}
		return filepath.Base(path)
	}
	return ""
}

// unchecked are the names of net/http by which responses are read.
var unchecked = []string{
	"Client", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm", "ReadResponse", "Transport",
}

// clientFinder finds uses of names of net/http by which responses are read.
type clientFinder struct {
	http    string            // name of the imported package
	allowed map[ast.Node]bool // uses that are checked, or read nothing
	found   []*ast.SelectorExpr
}

// visit is called for each node of a file, parents first.
func (f *clientFinder) visit(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.StarExpr: // a pointer to a client that was made elsewhere
		f.allowed[n.X] = true
	case *ast.CallExpr:
		f.allowTransport(n)
	case *ast.CompositeLit:
		if f.isName(n.Type, "Client") && hasTransport(n) {
			f.allowed[n.Type] = true
		}
	case *ast.SelectorExpr:
		if slices.ContainsFunc(unchecked, func(name string) bool { return f.isName(n, name) }) && !f.allowed[n] {
			f.found = append(f.found, n)
		}
	}
	return true
}

// allowTransport allows the transport in a call of response.NewTransport.
func (f *clientFinder) allowTransport(call *ast.CallExpr) {
	if !isSelector(call.Fun, "response", "NewTransport") || len(call.Args) != 1 {
		return
	}
	if pointer, ok := call.Args[0].(*ast.UnaryExpr); ok {
		if literal, ok := pointer.X.(*ast.CompositeLit); ok {
			f.allowed[literal.Type] = true
		}
	}
}

// hasTransport reports whether a literal of http.Client names its transport.
func hasTransport(client *ast.CompositeLit) bool {
	return slices.ContainsFunc(client.Elts, func(field ast.Expr) bool {
		pair, ok := field.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, isField := pair.Key.(*ast.Ident)
		value, isName := pair.Value.(*ast.Ident)
		return isField && key.Name == "Transport" && (!isName || value.Name != "nil")
	})
}

// isName reports whether an expression is a name of net/http.
func (f *clientFinder) isName(e ast.Expr, name string) bool { return isSelector(e, f.http, name) }

// isSelector reports whether an expression is a name of a package.
func isSelector(e ast.Expr, pkg, name string) bool {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	ident, ok := selector.X.(*ast.Ident)
	return ok && ident.Name == pkg
}
