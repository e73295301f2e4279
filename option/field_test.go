package option

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const pageHeader = `# Settings

The settings of one process are one YAML file, given as ` + "`teaselgate serve --settings FILE`" + `. A setting with a dot
in its name is nested: ` + "`log.level`" + ` is written as ` + "`log: {level: debug}`" + `. Relative paths start at the directory of the
settings file. Durations are written as ` + "`500ms`, `5s` or `2m`" + `. Unknown settings and invalid values are rejected and
listed together, each as ` + "`file:line:column: problem, and what is allowed`" + `;
` + "`teaselgate serve --settings FILE --check`" + ` checks the file and exits.

`

// TestSettingsPageMatchesFields checks docs/SETTINGS.md. To rewrite the page, run: go test ./option -update.
func TestSettingsPageMatchesFields(t *testing.T) {
	var page strings.Builder
	page.WriteString(pageHeader + "| setting | needed | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, f := range Fields {
		need, value := "no", "none"
		if f.Required {
			need = "yes"
		}
		if f.Default() != "" {
			value = "`" + f.Default() + "`"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", f.Name, need, value, f.Description)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "SETTINGS", []byte(page.String()))
}

func TestFieldsListEveryOption(t *testing.T) {
	var want []string
	got := make([]string, 0, len(Fields))
	want = tagNames("", reflect.TypeFor[Options](), want)
	for _, f := range Fields {
		got = append(got, f.Name)
		if f.Description == "" {
			t.Errorf("setting %s has no description", f.Name)
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("unexpected settings, got %v instead of %v", got, want)
	}
}

// tagNames appends the names of the settings in a struct, formed from its yaml tags, to names.
func tagNames(prefix string, structType reflect.Type, names []string) []string {
	for field := range structType.Fields() {
		name := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct && field.Type != reflect.TypeFor[time.Time]() {
			names = tagNames(name+".", field.Type, names)
			continue
		}
		names = append(names, name)
	}
	return names
}
