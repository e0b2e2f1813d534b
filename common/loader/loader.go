// Package loader reads the settings of a program from a TOML file, environment
// variables and flags, each overriding the ones before. It reports all mistakes
// at once, each with its key and, for those in the file, its line.
package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Source names the sources of settings. Later fields override earlier ones.
type Source struct {
	// Path is the path of the TOML file; empty means no file.
	Path string
	// Prefix is the prefix of the names of environment variables, as in
	// PREFIX_SECTION_KEY.
	Prefix string
	// Flags are the values of the --set flags, such as "section.key=value".
	Flags []string
}

// displayName returns the name of the source in errors.
func (s Source) displayName() string {
	if s.Path == "" {
		return "without a file"
	}
	return s.Path
}

// Load fills settings, a pointer to a struct that holds the defaults, and checks
// its validate tags. The error joins all mistakes; unknown keys are mistakes.
func Load(source Source, settings any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings %s:\n%w", source.displayName(), err)
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
		validate(settings, keyLines(content)),
	)
}

// validate checks the validate tags of settings. The error names every field
// that breaks a rule, with its line if the file sets it.
func validate(settings any, lines map[string]int) (err error) {
	validation := validator.New(validator.WithRequiredStructEnabled())
	validation.RegisterTagNameFunc(tomlName)
	err = validation.Struct(settings)
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		return err
	}
	var errs []error
	for _, f := range fieldErrs {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		errs = append(errs, fmt.Errorf("%s%s: %q does not satisfy %q", linePrefix(lines, key), key, fmt.Sprint(f.Value()), formatRule(f)))
	}
	return errors.Join(errs...)
}

// formatRule returns the rule that the field breaks, as written in its tag.
func formatRule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// linePrefix returns "line N: " for a key that the file sets, or "".
func linePrefix(lines map[string]int, key string) string {
	if line, found := lines[key]; found {
		return fmt.Sprintf("line %d: ", line)
	}
	return ""
}

func tomlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}
