package stmt

import (
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseTags(t *testing.T) {
	for text, tc := range map[string]struct {
		tags Tags
		rest string
	}{
		"/* kind='quote', session='desk-4', request_id='r-81' */ select 1": {
			Tags{Kind: "quote", Session: "desk-4", RequestID: "r-81"}, " select 1"},
		" \n/*kind='a',position='1/2',other='x'*/select 1": {Tags{Kind: "a", Position: "1/2"}, "select 1"},
		"/* session='it%27s%20100%25' */ select 1":         {Tags{Session: "it's 100%"}, " select 1"},
		"/* other='%zz' */ select 1":                       {Tags{}, " select 1"},
	} {
		tags, head, err := ParseTags(text)
		assert.NilError(t, err)
		assert.Equal(t, tags, tc.tags, text)
		assert.Equal(t, text[head:], tc.rest)
	}
	for _, text := range []string{"", "select 1", "/* a comment */ select 1", "/* kind=quote */", "/* kind='a' b */",
		"/* kind='a', */ select 1", "/* kind='a", "/* kind='a' /* */ */", "-- kind='a'\nselect 1", "/**/", "/*", "/*/"} {
		tags, head, err := ParseTags(text)
		assert.NilError(t, err)
		assert.Equal(t, tags, Tags{}, text)
		assert.Equal(t, head, 0)
	}
	_, _, err := ParseTags("/* kind='%zz' */ select 1")
	assert.ErrorContains(t, err, "comment tag kind")
}

// Checks that any value survives encoding and parsing.
func FuzzParseTags(f *testing.F) {
	f.Add("quote", "/* kind='a' */")
	f.Add("it's */ 100%", "/* kind='%41', x='y")
	f.Fuzz(func(t *testing.T, value, raw string) {
		escaped := strings.ReplaceAll(url.PathEscape(value), "'", "%27")
		escaped = strings.ReplaceAll(escaped, "*", "%2A")
		tags, head, err := ParseTags("/* session='" + escaped + "' */")
		assert.NilError(t, err)
		assert.Equal(t, tags.Session, value)
		assert.Assert(t, head > 0)
		if _, head, err := ParseTags(raw); err == nil && head > 0 {
			// The server must see the same end of the comment.
			if end := commentEnd(raw, strings.Index(raw, "/*")); end != head {
				t.Fatalf("%q: cut at %d, the comment ends at %d", raw, head, end)
			}
		}
	})
}
