package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// tagPattern matches a placeholder or the beginning or end of a section.
var tagPattern = regexp.MustCompile(`\{\{([#^/]?)([^{}]*)\}\}`)

// scope is a value that names are resolved in: the fields, or an entry of a section.
type scope struct {
	value any
	key   string
	last  bool
	outer *scope
}

// fill fills in a template as DEPLOY.md describes it. A field without a value is empty, and its section is left out. The zones are a
// table of their regions.
func fill(template string, values map[string]string, zones []string) (string, error) {
	regions := map[string]any{}
	for _, zone := range zones {
		regions[zone] = regionOf(zone)
	}
	fields := map[string]any{"zones": regions}
	for name, value := range values {
		table, path := fields, strings.Split(name, ".")
		for _, key := range path[:len(path)-1] {
			inner, ok := table[key].(map[string]any)
			if !ok {
				inner = map[string]any{}
				table[key] = inner
			}
			table = inner
		}
		table[path[len(path)-1]] = scalar(value)
	}
	return (&scope{value: fields}).render(template)
}

// scalar returns a number, true, false or a text, which differ in JSON and as the conditions of sections.
func scalar(text string) any {
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		return text
	}
	switch value.(type) {
	case float64:
		return json.Number(text)
	case bool:
		return value
	}
	return text
}

// render fills in a text whose sections all begin and end in it.
func (s *scope) render(text string) (string, error) {
	var out strings.Builder
	for {
		tag := tagPattern.FindStringSubmatchIndex(text)
		if tag == nil {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:tag[0]])
		sign, name := text[tag[2]:tag[3]], text[tag[4]:tag[5]]
		text = text[tag[1]:]
		switch sign {
		case "":
			value, err := s.placeholder(name)
			if err != nil {
				return "", err
			}
			out.WriteString(value)
			continue
		case "/":
			return "", fmt.Errorf("the section %s of the template doesn't begin", name)
		}
		body, rest, err := cutSection(text, name)
		if err != nil {
			return "", err
		}
		text = rest
		for _, inner := range s.sectionScopes(sign, name) {
			filled, err := inner.render(body)
			if err != nil {
				return "", err
			}
			out.WriteString(filled)
		}
	}
}

// cutSection returns the body of the section that has just begun, and the text after its end.
func cutSection(text, name string) (body, rest string, err error) {
	depth := 1
	for _, tag := range tagPattern.FindAllStringSubmatchIndex(text, -1) {
		if text[tag[4]:tag[5]] != name {
			continue
		}
		switch text[tag[2]:tag[3]] {
		case "#", "^":
			depth++
		case "/":
			depth--
		}
		if depth == 0 {
			return text[:tag[0]], text[tag[1]:], nil
		}
	}
	return "", "", fmt.Errorf("the section %s of the template doesn't end", name)
}

// sectionScopes returns the scopes in which a section is rendered, one after the other.
func (s *scope) sectionScopes(sign, name string) []*scope {
	value := s.lookup(name)
	isEmpty := value == nil || value == "" || value == false
	if sign == "^" {
		if isEmpty {
			return []*scope{s}
		}
		return nil
	}
	if isEmpty {
		return nil
	}
	entries, ok := value.(map[string]any)
	if !ok {
		return []*scope{{value: value, key: s.key, last: s.last, outer: s}}
	}
	var scopes []*scope
	for i, key := range slices.Sorted(maps.Keys(entries)) {
		scopes = append(scopes, &scope{value: entries[key], key: key, last: i == len(entries)-1, outer: s})
	}
	return scopes
}

// placeholder returns the text for a placeholder.
func (s *scope) placeholder(name string) (string, error) {
	switch name {
	case "@":
		return s.key, nil
	case ",":
		if s.last {
			return "", nil
		}
		return ",", nil
	}
	name, isJSON := strings.CutSuffix(name, "|json")
	value := s.lookup(name)
	if text, ok := value.(string); ok && !isJSON {
		return text, nil
	}
	if value == nil && !isJSON {
		return "", nil
	}
	data, err := json.Marshal(value)
	return string(data), err
}

// lookup returns the value of a name, or nil. Names are resolved in the innermost entry first.
func (s *scope) lookup(name string) any {
	if name == "." {
		return s.value
	}
	for ; s != nil; s = s.outer {
		value, ok := s.value, true
		for key := range strings.SplitSeq(name, ".") {
			var table map[string]any
			if table, ok = value.(map[string]any); !ok {
				break
			}
			if value, ok = table[key]; !ok {
				break
			}
		}
		if ok {
			return value
		}
	}
	return nil
}
