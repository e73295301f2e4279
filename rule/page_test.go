package rule

import (
	"os"
	"strings"
	"testing"
)

func TestRulesPageNamesEveryKindAndField(t *testing.T) {
	page, err := os.ReadFile("../docs/RULES.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range kindOrder {
		_, section, found := strings.Cut(string(page), "\n| `"+string(kind)+"` |")
		if !found {
			t.Errorf("kind %s is missing in docs/RULES.md", kind)
			continue
		}
		if end := strings.Index(section, "\n| `"); end >= 0 {
			section = section[:end]
		}
		for name := range yamlFieldNames(newValue(kind)) {
			if !strings.Contains(section, "`"+name+"`") {
				t.Errorf("field %s of kind %s is missing in docs/RULES.md", name, kind)
			}
		}
	}
}
