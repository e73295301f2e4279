package instance_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each test that docs/PROTECTIONS.md names for a cell must exist.
func TestProtectionsPageNamesExistingTests(t *testing.T) {
	page, err := os.ReadFile("../docs/PROTECTIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var tests strings.Builder
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		tests.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(page), -1)
	if len(names) == 0 {
		t.Error("the page names no test")
	}
	for _, name := range names {
		if !strings.Contains(tests.String(), "func "+name+"(") {
			t.Errorf("the page names %s, which does not exist", name)
		}
	}
}
