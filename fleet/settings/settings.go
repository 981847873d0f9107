// Package settings reads INI files into structs. Unknown sections and keys are errors.
//
// A struct describes the file: each of its fields is the section of that name. A field of
// type map[string]T holds the named sections of that kind, such as [Customer "x"] or
// [Customer x]. The fields of a section's struct are its keys. They can have these tags:
//
//	default:"5s"        the value if the key is missing; without a default the key is required
//	allowed:"a, b"      the description of allowed values in errors; for strings, if it contains
//	                    ", ", the list of allowed values
//	min:"1" max:"100"   the inclusive bounds of a number or duration; the default min of a
//	                    duration is 0
//
// A key can be a string, an integer, a floating-point number, a boolean, a duration, a
// net/netip address, a comma-separated list of these, or any type with an UnmarshalText
// method.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Error is an invalid section or key of a file.
type Error struct {
	File    string
	Section string
	// Key is empty if the section itself is invalid.
	Key string
	// Problem describes what is invalid.
	Problem string
	// Allowed describes what would be valid; it may be empty.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	location := fmt.Sprintf("%s: section %q", e.File, e.Section)
	if e.Key != "" {
		location += fmt.Sprintf(" key %q", e.Key)
	}
	if e.Allowed == "" {
		return fmt.Sprintf("%s: %s", location, e.Problem)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", location, e.Problem, e.Allowed)
}

// checker is implemented by sections that validate their values together.
type checker interface{ Check() error }

// Load reads the file at path into v, a pointer to a struct. An invalid section or key is
// returned as an *Error.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(path, data, v)
}

// Parse is Load for the content of a file. The name is the file name in errors.
func Parse(name string, data []byte, v any) error {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:  true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: false,
		IgnoreInlineComment:     true,
		AllowShadows:            true,
	}, data)
	if err != nil {
		return errors.Wrapf(err, "%s is not an INI file", name)
	}
	p := parser{file: name}
	return p.parseFile(f, reflect.ValueOf(v).Elem())
}

// parser parses a settings file.
type parser struct {
	// file is the file name in errors.
	file string
}

func (p parser) errorf(section, key, allowed, format string, args ...any) error {
	return &Error{File: p.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...), Allowed: allowed}
}

// parseFile fills v, the struct of the file.
func (p parser) parseFile(f *ini.File, v reflect.Value) error {
	seen := map[string]bool{}
	for _, sec := range f.Sections() {
		if err := p.parseSection(sec, v, seen); err != nil {
			return err
		}
	}
	return p.fillMissingSections(v, seen)
}

// parseSection fills the field of v for one section. seen holds the sections parsed so far,
// each as "KIND NAME".
func (p parser) parseSection(sec *ini.Section, v reflect.Value, seen map[string]bool) error {
	if sec.Name() == ini.DefaultSection {
		if len(sec.Keys()) > 0 {
			return p.errorf("", sec.Keys()[0].Name(), "keys only below a section", "key stands before the first section")
		}
		return nil
	}
	kind, name := splitSection(sec.Name())
	field := v.FieldByName(kind)
	if !field.IsValid() || (field.Kind() == reflect.Map) != (name != "") {
		return p.errorf(sec.Name(), "", strings.Join(sectionNames(v.Type()), ", "), "section is unknown")
	}
	id := kind + " " + name
	if seen[id] {
		return p.errorf(sec.Name(), "", "each section once", "section stands twice")
	}
	seen[id] = true
	if field.Kind() != reflect.Map {
		return p.parseKeys(sec, field)
	}
	elem := reflect.New(field.Type().Elem()).Elem()
	if err := p.parseKeys(sec, elem); err != nil {
		return err
	}
	if field.IsNil() {
		field.Set(reflect.MakeMap(field.Type()))
	}
	field.SetMapIndex(reflect.ValueOf(name).Convert(field.Type().Key()), elem)
	return nil
}

// fillMissingSections sets the defaults of sections that the file does not contain. A
// required key in one of them is an error.
func (p parser) fillMissingSections(v reflect.Value, seen map[string]bool) error {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if v.Field(i).Kind() == reflect.Map || seen[name+" "] {
			continue
		}
		empty := ini.Empty()
		sec, err := empty.NewSection(name)
		if err != nil {
			return err
		}
		if err := p.parseKeys(sec, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// parseKeys fills v, the struct of a section, and validates it.
func (p parser) parseKeys(sec *ini.Section, v reflect.Value) error {
	t := v.Type()
	for _, key := range sec.Keys() {
		if _, ok := t.FieldByName(key.Name()); !ok {
			return p.errorf(sec.Name(), key.Name(), strings.Join(fieldNames(t), ", "), "key is unknown")
		}
		if len(key.ValueWithShadows()) > 1 {
			return p.errorf(sec.Name(), key.Name(), "each key once", "key stands twice")
		}
	}
	for i := range t.NumField() {
		if err := p.parseKey(sec, t.Field(i), v.Field(i)); err != nil {
			return err
		}
	}
	if c, ok := v.Addr().Interface().(checker); ok {
		if err := c.Check(); err != nil {
			return p.errorf(sec.Name(), "", "", "%s", err)
		}
	}
	return nil
}

// parseKey sets v, the field f of a section's struct, from the file or its default.
func (p parser) parseKey(sec *ini.Section, f reflect.StructField, v reflect.Value) error {
	text, hasDefault := f.Tag.Lookup("default")
	if sec.HasKey(f.Name) {
		text = strings.TrimSpace(sec.Key(f.Name).String())
	} else if !hasDefault {
		return p.errorf(sec.Name(), f.Name, describeAllowed(f), "key is missing")
	}
	if err := setValue(v, f, text); err != nil {
		return p.errorf(sec.Name(), f.Name, describeAllowed(f), "%s", err)
	}
	return nil
}

// splitSection splits `Customer "x"` or "Customer x" into its kind and name.
func splitSection(s string) (kind, name string) {
	kind, name, _ = strings.Cut(s, " ")
	return kind, strings.Trim(strings.TrimSpace(name), `"`)
}

func sectionNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type.Kind() == reflect.Map {
			names = append(names, fmt.Sprintf("[%s NAME]", f.Name))
		} else {
			names = append(names, fmt.Sprintf("[%s]", f.Name))
		}
	}
	sort.Strings(names)
	return names
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	sort.Strings(names)
	return names
}
