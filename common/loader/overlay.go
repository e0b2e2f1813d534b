package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// overlayEnvironment sets the fields for which an environment variable exists:
// prefix, then the TOML names of the field's path in upper case, joined by "_".
func overlayEnvironment(prefix string, value reflect.Value) (err error) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := prefix + "_" + strings.ToUpper(tomlName(field))
		if field.Type.Kind() == reflect.Struct {
			err = errors.Join(err, overlayEnvironment(name, value.Field(i)))
			continue
		}
		if text, found := os.LookupEnv(name); found {
			err = errors.Join(err, setField("environment variable "+name, text, value.Field(i)))
		}
	}
	return err
}

// overlayFlags sets the fields that assignments such as "section.key=value"
// name.
func overlayFlags(flags []string, value reflect.Value) (err error) {
	for _, flag := range flags {
		key, text, found := strings.Cut(flag, "=")
		field, known := fieldByKey(value, strings.Split(key, "."))
		switch {
		case !found:
			err = errors.Join(err, fmt.Errorf("flag --set %s: no value", flag))
		case !known:
			err = errors.Join(err, fmt.Errorf("flag --set %s: unknown key", key))
		default:
			err = errors.Join(err, setField("flag --set "+key, text, field))
		}
	}
	return err
}

// fieldByKey returns the field that a key, split at its dots, names. A section
// is not found, as it has no value of its own.
func fieldByKey(value reflect.Value, parts []string) (field reflect.Value, found bool) {
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
		return fieldByKey(field, parts[1:])
	}
	return field, false
}

// setField parses text as a TOML value of the field's type and assigns it; a
// string needs no quotes. name is the source of the value in errors.
func setField(name, text string, field reflect.Value) (err error) {
	if field.Kind() == reflect.String {
		field.SetString(text)
		return nil
	}
	wrapper := reflect.New(reflect.StructOf([]reflect.StructField{{
		Name: "Value", Type: field.Type(), Tag: `toml:"value"`,
	}}))
	if err = toml.Unmarshal([]byte("value = "+text), wrapper.Interface()); err != nil {
		return fmt.Errorf("%s: %q: %w", name, text, err)
	}
	field.Set(wrapper.Elem().Field(0))
	return nil
}
