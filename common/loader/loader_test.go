package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yuccaspread/common/loader"
)

type settings struct {
	Name  string `toml:"name" validate:"required"`
	Count int    `toml:"count" validate:"gt=0"`
	Inner struct {
		Ratio float64 `toml:"ratio" validate:"lte=1"`
	} `toml:"inner"`
	Lists []struct {
		Port int `toml:"port" validate:"lt=65536"`
	} `toml:"lists" validate:"dive"`
}

func load(t *testing.T, content string, flags ...string) (settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	var s settings
	err := loader.Load(loader.Source{Path: path, Prefix: "LOADERTEST", Flags: flags}, &s)
	return s, err
}

// Guards against a wrong precedence of the sources, by which a flag or an
// environment variable would have no effect on a key that the file sets.
func TestFlagsOverrideEnvironmentWhichOverridesFile(t *testing.T) {
	t.Setenv("LOADERTEST_COUNT", "2")
	t.Setenv("LOADERTEST_INNER_RATIO", "0.5")
	s, err := load(t, "name = \"a\"\ncount = 1\n[inner]\nratio = 0.1\n", "count=3")
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "a" || s.Count != 3 || s.Inner.Ratio != 0.5 {
		t.Fatalf("got %+v", s)
	}
}

// Guards against a Load that stops at the first mistake or does not say where a
// mistake is, so that a file would have to be mended by trial and error.
func TestLoadReportsAllMistakesWithLineAndKey(t *testing.T) {
	_, err := load(t, `count = "many"
colour = "red"

[inner]
ratio = 2.0

[[lists]]
port = 1

[[lists]]
port = 70000
`, "nothing=1", "count")
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		"line 1: count", "line 2: unknown key colour", "name: ", `line 5: inner.ratio: "2"`,
		`line 11: lists[1].port: "70000"`, "--set nothing: unknown key", "--set count: no value",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"", "name = 1", "count = []\n[inner]\nratio = 'x'", "[[lists]]\nport = 1", "a.b.c = {d = [1", "\x00=\n[["} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, content []byte) {
		var s settings
		_ = loader.Decode(content, &s)
	})
}
