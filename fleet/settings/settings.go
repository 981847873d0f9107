// Package settings reads INI files into structs and refuses what it does not know.
//
// A struct stands for the file; each of its fields is a section, named like the
// field. A field of type map[string]T collects sections such as [Customer "x"] or
// [Customer x]. The fields of a section are its keys. Tags:
//
//	default:"5s"        the value when the key is missing; without it the key is required
//	allowed:"a, b"      what the error names as allowed; a comma-separated list for strings
//	min:"1" max:"100"   the bounds of numbers, sizes and durations
//
// Keys hold strings, integers, booleans, durations, net/netip addresses, comma-separated
// lists of these, or any type with an UnmarshalText method.
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

// Error tells which key of which section of which file is wrong and what is allowed.
type Error struct {
	File    string
	Section string
	// Key is empty when the section itself is wrong.
	Key string
	// Problem says what is wrong.
	Problem string
	// Allowed says what would be right.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	where := fmt.Sprintf("%s: section %q", e.File, e.Section)
	if e.Key != "" {
		where += fmt.Sprintf(" key %q", e.Key)
	}
	if e.Allowed == "" {
		return fmt.Sprintf("%s: %s", where, e.Problem)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", where, e.Problem, e.Allowed)
}

// checker is a section that checks its values against each other.
type checker interface{ Check() error }

// Load reads the file at path into v, a pointer to a struct.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(path, data, v)
}

// Parse reads data into v, a pointer to a struct. The name is used in errors.
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
	return p.document(f, reflect.ValueOf(v).Elem())
}

type parser struct {
	file string
}

func (p parser) fail(section, key, allowed, format string, args ...any) error {
	return &Error{File: p.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...), Allowed: allowed}
}

func (p parser) document(f *ini.File, v reflect.Value) error {
	seen := map[string]bool{}
	for _, sec := range f.Sections() {
		if err := p.section(sec, v, seen); err != nil {
			return err
		}
	}
	return p.missingSections(v, seen)
}

func (p parser) section(sec *ini.Section, v reflect.Value, seen map[string]bool) error {
	if sec.Name() == ini.DefaultSection {
		if len(sec.Keys()) > 0 {
			return p.fail("", sec.Keys()[0].Name(), "keys only below a section", "key stands before the first section")
		}
		return nil
	}
	kind, name := splitSection(sec.Name())
	field := v.FieldByName(kind)
	if !field.IsValid() || (field.Kind() == reflect.Map) != (name != "") {
		return p.fail(sec.Name(), "", strings.Join(sectionNames(v.Type()), ", "), "section is unknown")
	}
	id := kind + " " + name
	if seen[id] {
		return p.fail(sec.Name(), "", "each section once", "section stands twice")
	}
	seen[id] = true
	if field.Kind() != reflect.Map {
		return p.keys(sec, field)
	}
	elem := reflect.New(field.Type().Elem()).Elem()
	if err := p.keys(sec, elem); err != nil {
		return err
	}
	if field.IsNil() {
		field.Set(reflect.MakeMap(field.Type()))
	}
	field.SetMapIndex(reflect.ValueOf(name).Convert(field.Type().Key()), elem)
	return nil
}

func (p parser) missingSections(v reflect.Value, seen map[string]bool) error {
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
		if err := p.keys(sec, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// keys fills the struct v from the section.
func (p parser) keys(sec *ini.Section, v reflect.Value) error {
	t := v.Type()
	for _, key := range sec.Keys() {
		if _, ok := t.FieldByName(key.Name()); !ok {
			return p.fail(sec.Name(), key.Name(), strings.Join(fieldNames(t), ", "), "key is unknown")
		}
		if len(key.ValueWithShadows()) > 1 {
			return p.fail(sec.Name(), key.Name(), "each key once", "key stands twice")
		}
	}
	for i := range t.NumField() {
		if err := p.key(sec, t.Field(i), v.Field(i)); err != nil {
			return err
		}
	}
	if c, ok := v.Addr().Interface().(checker); ok {
		if err := c.Check(); err != nil {
			return p.fail(sec.Name(), "", "", "%s", err)
		}
	}
	return nil
}

func (p parser) key(sec *ini.Section, f reflect.StructField, v reflect.Value) error {
	text, hasDefault := f.Tag.Lookup("default")
	if sec.HasKey(f.Name) {
		text = strings.TrimSpace(sec.Key(f.Name).String())
	} else if !hasDefault {
		return p.fail(sec.Name(), f.Name, describe(f), "key is missing")
	}
	if err := setValue(v, f, text); err != nil {
		return p.fail(sec.Name(), f.Name, describe(f), "%s", err)
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
