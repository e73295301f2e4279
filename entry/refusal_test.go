package entry

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// TestOperatorsPageListsEveryRefusal compares the refusal codes in the source with those on the operators' page.
func TestOperatorsPageListsEveryRefusal(t *testing.T) {
	inCode := make(map[string]bool)
	refusals := regexp.MustCompile(`(?:NewRefusal|badRequest)\(\s*http\.\w+, "([a-z-]+)"|\bCode(?::| =)\s+"([a-z-]+)"`)
	for _, pattern := range []string{"*.go", "../outcome/*.go", "../limit/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("unexpected files for %s, got %v, error %v", pattern, files, err)
		}
		for _, file := range files {
			if match, _ := filepath.Match("*_test.go", filepath.Base(file)); match {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, found := range refusals.FindAllStringSubmatch(string(text), -1) {
				inCode[found[1]+found[2]] = true
			}
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	onPage := make(map[string]bool)
	for _, found := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| \\d").FindAllStringSubmatch(string(page), -1) {
		onPage[found[1]] = true
		if !inCode[found[1]] {
			t.Errorf("unexpected code on the page, no refusal has %s", found[1])
		}
	}
	for code := range inCode {
		if !onPage[code] {
			t.Errorf("unexpected refusal code, %s is not on the page", code)
		}
	}
}
