package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

var (
	durationType    = reflect.TypeOf(time.Duration(0))
	unmarshalerType = reflect.TypeOf((*encoding.TextUnmarshaler)(nil)).Elem()
)

// setValue parses text into v, according to the type of v and the tags of its field f.
func setValue(v reflect.Value, f reflect.StructField, text string) error {
	if reflect.PointerTo(v.Type()).Implements(unmarshalerType) {
		return v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	}
	if v.Type() == durationType {
		return setDuration(v, f, text)
	}
	switch v.Kind() {
	case reflect.String:
		return setString(v, f, text)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return setInteger(v, f, text)
	case reflect.Float64:
		return setFloat(v, f, text)
	case reflect.Bool:
		return setBool(v, text)
	case reflect.Slice:
		return setList(v, f, text)
	}
	return errors.Errorf("settings of type %s are not supported", v.Type())
}

// setString sets a string, which must be in the allowed list if there is one, and must not
// be empty unless the field has a default.
func setString(v reflect.Value, f reflect.StructField, text string) error {
	if allowed := f.Tag.Get("allowed"); strings.Contains(allowed, ", ") && !listContains(allowed, text) {
		return errors.Errorf("value %q is not allowed", text)
	}
	if _, optional := f.Tag.Lookup("default"); text == "" && !optional {
		return errors.New("value is empty")
	}
	v.SetString(text)
	return nil
}

// listContains reports whether a list, separated by ", ", contains text.
func listContains(list, text string) bool {
	for _, s := range strings.Split(list, ", ") {
		if s == text {
			return true
		}
	}
	return false
}

func setInteger(v reflect.Value, f reflect.StructField, text string) error {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return errors.Errorf("value %q is not a whole number", text)
	}
	for _, tag := range []string{"min", "max"} {
		bound, err := strconv.ParseInt(f.Tag.Get(tag), 10, 64)
		if err != nil {
			continue
		}
		if tag == "min" && n < bound || tag == "max" && n > bound {
			return errors.Errorf("value %d is out of bounds", n)
		}
	}
	if v.Kind() == reflect.Uint64 {
		if n < 0 {
			return errors.Errorf("value %d is out of bounds", n)
		}
		v.SetUint(uint64(n))
		return nil
	}
	v.SetInt(n)
	return nil
}

func setFloat(v reflect.Value, f reflect.StructField, text string) error {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return errors.Errorf("value %q is not a number", text)
	}
	if lower, err := strconv.ParseFloat(f.Tag.Get("min"), 64); err == nil && n < lower {
		return errors.Errorf("value %s is out of bounds", text)
	}
	if upper, err := strconv.ParseFloat(f.Tag.Get("max"), 64); err == nil && n > upper {
		return errors.Errorf("value %s is out of bounds", text)
	}
	v.SetFloat(n)
	return nil
}

func setDuration(v reflect.Value, f reflect.StructField, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("value %q is not a duration such as 500ms, 5s or 1h30m", text)
	}
	lower, err := time.ParseDuration(f.Tag.Get("min"))
	if err != nil {
		lower = 0
	}
	upper, err := time.ParseDuration(f.Tag.Get("max"))
	if d < lower || err == nil && d > upper {
		return errors.Errorf("value %s is out of bounds", d)
	}
	v.SetInt(int64(d))
	return nil
}

func setBool(v reflect.Value, text string) error {
	switch text {
	case "true", "false":
		v.SetBool(text == "true")
		return nil
	}
	return errors.Errorf("value %q is neither true nor false", text)
}

func setList(v reflect.Value, f reflect.StructField, text string) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	if text == "" {
		if _, optional := f.Tag.Lookup("default"); !optional {
			return errors.New("list is empty")
		}
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		elem := reflect.New(v.Type().Elem()).Elem()
		if err := setValue(elem, f, strings.TrimSpace(part)); err != nil {
			return err
		}
		v.Set(reflect.Append(v, elem))
	}
	return nil
}

// describeAllowed describes the values that a field accepts, for error messages.
func describeAllowed(f reflect.StructField) string {
	if s := f.Tag.Get("allowed"); s != "" {
		return s
	}
	s := describeType(f.Type)
	lower, upper := f.Tag.Get("min"), f.Tag.Get("max")
	switch {
	case lower != "" && upper != "":
		return fmt.Sprintf("%s from %s to %s", s, lower, upper)
	case lower != "":
		return fmt.Sprintf("%s of at least %s", s, lower)
	case upper != "":
		return fmt.Sprintf("%s of at most %s", s, upper)
	}
	return s
}

func describeType(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration such as 500ms or 5s"
	case t.Kind() == reflect.Slice:
		return "a comma-separated list, each " + describeType(t.Elem())
	case t.PkgPath() == "net/netip" && t.Name() == "AddrPort":
		return "an IP address and port such as 127.0.0.1:7000"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "a text"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
