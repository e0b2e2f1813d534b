// Package loader reads the settings of a program: one TOML file, then
// environment variables, then flags on top. All mistakes are reported at once,
// each with its line and key.
package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Source says where settings come from. Later fields go before earlier ones.
type Source struct {
	// Path is the TOML file; empty reads none.
	Path string
	// Prefix starts the names of environment variables, as in
	// PREFIX_SECTION_KEY.
	Prefix string
	// Flags are assignments such as "section.key=value".
	Flags []string
}

// name returns what the settings are called in errors.
func (s Source) name() string {
	if s.Path == "" {
		return "without a file"
	}
	return s.Path
}

// Load fills settings, a pointer to a struct that holds the defaults, and
// checks its validate tags. Unknown keys are errors.
func Load(source Source, settings any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings %s:\n%w", source.name(), err)
		}
	}()
	var content []byte
	if source.Path != "" {
		if content, err = os.ReadFile(source.Path); err != nil {
			return err
		}
	}
	value := reflect.ValueOf(settings).Elem()
	return errors.Join(
		Decode(content, settings),
		overlayEnvironment(source.Prefix, value),
		overlayFlags(source.Flags, value),
		check(settings, keyLines(content)),
	)
}

// check applies the validate tags of settings and names every mistake.
func check(settings any, lines map[string]int) (err error) {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(tomlName)
	err = validate.Struct(settings)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	var all []error
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		all = append(all, fmt.Errorf("%s%s: %q does not satisfy %q", place(lines, key), key, fmt.Sprint(f.Value()), rule(f)))
	}
	return errors.Join(all...)
}

// rule returns the broken rule as the tag has it.
func rule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// place returns "line N: " for a key that the file holds.
func place(lines map[string]int, key string) string {
	if line, found := lines[key]; found {
		return fmt.Sprintf("line %d: ", line)
	}
	return ""
}

func tomlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}
