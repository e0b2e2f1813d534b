// Package loader reads the settings of a program: one TOML file, then
// environment variables on top. All mistakes are reported at once.
package loader

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Load fills settings, a pointer to a struct that holds the defaults, from
// the TOML file at path and from environment variables named
// PREFIX_SECTION_KEY. An empty path reads no file. Unknown keys are errors.
func Load(path, prefix string, settings any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings %s: %w", path, err)
		}
	}()
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err = Decode(content, settings); err != nil {
			return err
		}
	}
	if err = overlay(prefix, reflect.ValueOf(settings).Elem()); err != nil {
		return err
	}
	return Check(settings)
}

// Decode fills value from TOML; keys that value lacks are errors, named with
// their lines.
func Decode(content []byte, value any) (err error) {
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	err = decoder.Decode(value)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for _, e := range strict.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("line %d: unknown key %s", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	}
	var single *toml.DecodeError
	if errors.As(err, &single) {
		line, _ := single.Position()
		return fmt.Errorf("line %d: %s: %w", line, strings.Join(single.Key(), "."), err)
	}
	return err
}

// Check applies the validate tags of settings and names every mistake.
func Check(settings any) (err error) {
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
		all = append(all, fmt.Errorf("%s: %v does not satisfy %s %s", key, f.Value(), f.Tag(), f.Param()))
	}
	return errors.Join(all...)
}

func tomlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// overlay replaces fields by the environment variables that name them.
func overlay(prefix string, value reflect.Value) (err error) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := prefix + "_" + strings.ToUpper(tomlName(field))
		if field.Type.Kind() == reflect.Struct {
			err = errors.Join(err, overlay(name, value.Field(i)))
			continue
		}
		text, found := os.LookupEnv(name)
		if !found {
			continue
		}
		err = errors.Join(err, assign(name, text, value.Field(i)))
	}
	return err
}

// assign parses text as a TOML value of the field's type.
func assign(name, text string, field reflect.Value) (err error) {
	if field.Kind() == reflect.String {
		field.SetString(text)
		return nil
	}
	holder := reflect.New(reflect.StructOf([]reflect.StructField{{
		Name: "Value", Type: field.Type(), Tag: `toml:"value"`,
	}}))
	if err = toml.Unmarshal([]byte("value = "+text), holder.Interface()); err != nil {
		return fmt.Errorf("environment variable %s: %q: %w", name, text, err)
	}
	field.Set(holder.Elem().Field(0))
	return nil
}
