package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// overlayEnvironment replaces fields by the environment variables that name
// them.
func overlayEnvironment(prefix string, value reflect.Value) (err error) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := prefix + "_" + strings.ToUpper(tomlName(field))
		if field.Type.Kind() == reflect.Struct {
			err = errors.Join(err, overlayEnvironment(name, value.Field(i)))
			continue
		}
		if text, found := os.LookupEnv(name); found {
			err = errors.Join(err, assign("environment variable "+name, text, value.Field(i)))
		}
	}
	return err
}

// overlayFlags replaces fields by assignments such as "section.key=value".
func overlayFlags(flags []string, value reflect.Value) (err error) {
	for _, flag := range flags {
		key, text, found := strings.Cut(flag, "=")
		field, known := fieldOf(value, strings.Split(key, "."))
		switch {
		case !found:
			err = errors.Join(err, fmt.Errorf("flag --set %s: no value", flag))
		case !known:
			err = errors.Join(err, fmt.Errorf("flag --set %s: unknown key", key))
		default:
			err = errors.Join(err, assign("flag --set "+key, text, field))
		}
	}
	return err
}

// fieldOf returns the field that the parts of a key lead to.
func fieldOf(value reflect.Value, parts []string) (field reflect.Value, found bool) {
	for i := range value.NumField() {
		if tomlName(value.Type().Field(i)) != parts[0] {
			continue
		}
		field = value.Field(i)
		if len(parts) == 1 {
			return field, field.Kind() != reflect.Struct
		}
		if field.Kind() != reflect.Struct {
			return field, false
		}
		return fieldOf(field, parts[1:])
	}
	return field, false
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
		return fmt.Errorf("%s: %q: %w", name, text, err)
	}
	field.Set(holder.Elem().Field(0))
	return nil
}
