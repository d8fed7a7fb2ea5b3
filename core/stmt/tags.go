package stmt

import (
	"cmp"
	"fmt"
	"net/url"
	"strings"
)

// Tags are the values of a comment at the head of a statement, such as
// /* kind='quote', session='desk-4', request_id='r-81' */. Missing tags are empty.
type Tags struct {
	Kind      string
	Session   string
	RequestID string
	// Position has the form TERM/OFFSET.
	Position string
}

// ParseTags parses the tags of the comment at the head of the text. It returns the index after the
// comment, or 0 if the text has no tags. A comment that isn't a list of tags is an ordinary comment, and
// unknown keys are ignored. It returns an error if the value of a known key is not valid percent-encoding.
func ParseTags(text string) (Tags, int, error) {
	start := 0
	for start < len(text) && isSpace(text[start]) {
		start++
	}
	if !strings.HasPrefix(text[start:], "/*") {
		return Tags{}, 0, nil
	}
	end := strings.Index(text[start+2:], "*/")
	if end < 0 {
		return Tags{}, 0, nil
	}
	end += start + 2
	body := text[start+2 : end]
	if strings.Contains(body, "/*") {
		return Tags{}, 0, nil
	}
	var tags Tags
	for {
		key, value, rest, ok := cutTag(body)
		if !ok {
			return Tags{}, 0, nil
		}
		if err := tags.set(key, value); err != nil {
			return Tags{}, 0, err
		}
		if rest == "" {
			return tags, end + 2, nil
		}
		body = rest
	}
}

// Or returns the tags with empty values replaced by those of other.
func (t Tags) Or(other Tags) Tags {
	t.Kind = cmp.Or(t.Kind, other.Kind)
	t.Session = cmp.Or(t.Session, other.Session)
	t.RequestID = cmp.Or(t.RequestID, other.RequestID)
	t.Position = cmp.Or(t.Position, other.Position)
	return t
}

// cutTag splits off the first key='value' of the body and the comma that follows.
func cutTag(body string) (key, value, rest string, ok bool) {
	key, after, ok := strings.Cut(strings.TrimSpace(body), "='")
	if !ok || key == "" || strings.ContainsAny(key, " '\t\r\n,=") {
		return "", "", "", false
	}
	value, after, ok = strings.Cut(after, "'")
	if !ok {
		return "", "", "", false
	}
	after = strings.TrimSpace(after)
	if after == "" {
		return key, value, "", true
	}
	if after[0] != ',' || len(after) == 1 {
		return "", "", "", false
	}
	return key, value, after[1:], true
}

func (t *Tags) set(key, value string) error {
	var field *string
	switch key {
	case "kind":
		field = &t.Kind
	case "session":
		field = &t.Session
	case "request_id":
		field = &t.RequestID
	case "position":
		field = &t.Position
	default:
		return nil
	}
	decoded, err := url.PathUnescape(value)
	if err != nil {
		return fmt.Errorf("comment tag %s: %w", key, err)
	}
	*field = decoded
	return nil
}
