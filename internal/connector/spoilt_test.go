package connector

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/owner"
)

// soundResult are the fields of a success in the order in which a server writes them.
var soundResult = [][2]string{
	{"request", `"01000000-0000-0000-0000-000000000000"`},
	{"attempt", "7"},
	{"version", "41"},
	{"shard", "3"},
	{"rows", `[{"score":0.5,"value":{"plate":"K-1138"}},{"score":0.25,"value":7}]`},
	{"total", "2"},
}

// object returns the JSON object with some fields.
func object(fields ...[2]string) string {
	parts := []string{}
	for _, f := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", f[0], f[1]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// interpretBody interprets a reply to the subrequest of attempt 7 without a connection.
func interpretBody(c *Connector, status int, body string) (owner.Result, error) {
	x := &exchange{connector: c, subrequest: makeSubrequest(7)}
	return x.interpret(&http.Response{StatusCode: status, Status: "status"}, []byte(body))
}

// TestSpoiltFieldIsABadReply guards against a success without rows, or with a total of zero, because the name of
// a field is spoilt, it is missing or null, or it stands twice.
func TestSpoiltFieldIsABadReply(t *testing.T) {
	c := newConnector(t)
	result, err := interpretBody(c, http.StatusOK, object(soundResult...))
	assert.NilError(t, err)
	assert.Equal(t, len(result.Rows), 2)
	for i, f := range soundResult {
		replace := func(with ...[2]string) string {
			return object(append(append(append([][2]string{}, soundResult[:i]...), with...), soundResult[i+1:]...)...)
		}
		spoilt := map[string]string{
			"name": replace([2]string{f[0][1:] + "~", f[1]}), "value": replace([2]string{f[0], `"~"`}), "missing": replace(),
			"null": replace([2]string{f[0], "null"}), "twice": replace(f, f), "malformed": replace([2]string{f[0], "~"}),
		}
		if f[0] == "rows" {
			// A server without rows may write null.
			delete(spoilt, "null")
			for _, row := range []string{`{"score":1}`, `{"value":1}`, `{"score":null,"value":1}`, `{}`, `null`, `7`} {
				spoilt["row "+row] = replace([2]string{"rows", `[{"score":1,"value":1},` + row + `]`})
			}
		}
		for name, body := range spoilt {
			t.Run(f[0]+" "+name, func(t *testing.T) {
				_, err := interpretBody(c, http.StatusOK, body)
				expectFailure(t, err, owner.CauseBadReply, true)
			})
		}
	}
}

// TestSpoiltFailurePromisesNothing guards against a subrequest that counts as not started although the server did not
// clearly say so, and against a time to retry that is no time.
func TestSpoiltFailurePromisesNothing(t *testing.T) {
	c := newConnector(t)
	for _, body := range []string{
		`{"code":"overloaded","startew":false}`, `{"code":"overloaded","started":"false"}`, `{"code":"overloaded","started":null}`,
		`{"code":"overloaded"}`, `{"code":"overloaded","started":true,"started":false}`, `{"code":"overloaded","started":false`, ``,
	} {
		_, err := interpretBody(c, http.StatusServiceUnavailable, body)
		var f *owner.Failure
		assert.Assert(t, errors.As(err, &f) && f.Started, "%s: %v", body, err)
	}
	for _, text := range []string{"", "~", "-1", "NaN", "Inf", "1e9", "1,2"} {
		assert.Equal(t, int64(retryAfter(http.Header{"Retry-After": {text}})), int64(0), text)
	}
}

// TestAnySpoiltByteOfAResult spoils each byte of a success in some ways. What counts as a success must be one by a
// decoder of its own, with the same rows.
func TestAnySpoiltByteOfAResult(t *testing.T) {
	c := newConnector(t)
	sound := object(soundResult...)
	for i := range sound {
		for _, b := range []byte{sound[i] ^ 1, sound[i] ^ 0x20, sound[i] ^ 0x80, 0, ' ', '~', '"', ',', ':', '0', '}'} {
			spoilt := sound[:i] + string([]byte{b}) + sound[i+1:]
			result, err := interpretBody(c, http.StatusOK, spoilt)
			if err != nil {
				expectFailure(t, err, owner.CauseBadReply, true)
				continue
			}
			expectSame(t, spoilt, result)
		}
	}
}

// expectSame compares a result with the reply's own text.
func expectSame(t *testing.T, text string, result owner.Result) {
	t.Helper()
	var decoded map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal([]byte(text), &decoded))
	lower := map[string]string{}
	for name, value := range decoded {
		lower[strings.ToLower(name)] = string(value)
	}
	for _, f := range soundResult[:4] {
		assert.Equal(t, lower[f[0]], f[1], text)
	}
	var rows []map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal([]byte(lower["rows"]), &rows), text)
	assert.Equal(t, len(rows), len(result.Rows), text)
	assert.Equal(t, len(lower["total"]) > 0, true, text)
	for i, row := range rows {
		for name, value := range row {
			if strings.EqualFold(name, "value") {
				assert.Equal(t, string(value), string(result.Rows[i].Value), text)
			}
		}
	}
}
