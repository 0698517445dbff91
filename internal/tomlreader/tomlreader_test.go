package tomlreader

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// expectValue parses one value and compares the converted value.
func expectValue[V comparable](t *testing.T, text string, convert Converter[V], want V) {
	t.Helper()
	d := Read([]byte("key = "+text), 1000)
	got := Required(d.Root, "key", convert)
	assert.NilError(t, d.Finish())
	assert.Equal(t, got, want)
}

// expectRefused parses one value that the converter must refuse with the given problem.
func expectRefused[V any](t *testing.T, text string, convert Converter[V], want string) {
	t.Helper()
	d := Read([]byte("\nkey = "+text), 1000)
	Required(d.Root, "key", convert)
	assert.Error(t, d.Finish(), "2: key: "+want)
}

func TestConvertersAcceptAndRefuseValues(t *testing.T) {
	expectValue(t, `"a b"`, Text, "a b")
	expectValue(t, `"""a"""`, Text, "a")
	expectValue(t, `"a-b_c"`, Name[string], "a-b_c")
	expectValue(t, "true", Flag, true)
	expectValue(t, "1_000", Integer(0, 1000), 1000)
	expectValue(t, "-5", Integer(-10, 0), -5)
	expectValue(t, "1e3", Number(0, 1e6), 1000)
	expectValue(t, "3", Number(0, 1e6), 3)
	expectValue(t, `"1m30s"`, Duration(0, time.Hour), 90*time.Second)
	expectRefused(t, `""`, Text, "must not be empty")
	expectRefused(t, `"a/b"`, Name[string], `"a/b" may hold only the letters a to z and A to Z, digits, underscores and hyphens`)
	expectRefused(t, "1", Text, "must be a text in quotes")
	expectRefused(t, "1", Flag, "must be true or false, without quotes")
	expectRefused(t, "0x10", Integer(0, 1000), "0x10 is not a decimal number of at most 64 bits")
	expectRefused(t, "99999999999999999999", Integer(0, 1000), "99999999999999999999 is not a decimal number of at most 64 bits")
	expectRefused(t, "1.5", Integer(0, 1000), "must be a whole number without quotes")
	expectRefused(t, "inf", Number(0, 1000), "must be from 0 to 1000, not inf")
	expectRefused(t, `"5 s"`, Duration(0, time.Hour), `"5 s" is not a duration with a unit, such as "250ms" or "5s"`)
	expectRefused(t, `"-5s"`, Duration(0, time.Hour), "must be from 0s to 1h0m0s, not -5s")
	expectRefused(t, `["a", 3]`, List(5, Text), "value 2: must be a text in quotes")
	expectRefused(t, `["a", "b"]`, List(1, Text), "holds 2 values, more than the limit of 1")
	expectRefused(t, `{a = 1}`, Text, "must be a text in quotes")
	expectRefused(t, `2026-12-03`, Text, "must be a text in quotes")
}

func TestReadContinuesAfterSyntaxErrors(t *testing.T) {
	text := "a = b\nok = 1\n[[broken\ninside = 1\n[[list]]\nx = 1\nx = 2\nthree four\n"
	d := Read([]byte(text), 1000)
	assert.Equal(t, Required(d.Root, "a", Text), "")
	assert.Equal(t, Required(d.Root, "ok", Integer(0, 9)), int64(1))
	lists := d.Root.Tables("list")
	assert.Equal(t, len(lists), 1)
	assert.Equal(t, Required(lists[0], "x", Integer(0, 9)), int64(1))
	err := d.Finish()
	lines := strings.Split(err.Error(), "\n")
	assert.Equal(t, len(lines), 4, "%v", err)
	for i, prefix := range []string{"1: a: syntax: ", "3: syntax: ", "7: x: is already set on line 6", "8: syntax: "} {
		assert.Assert(t, strings.HasPrefix(lines[i], prefix), lines[i])
	}
}

func TestProblemsAreTruncatedAndPrintable(t *testing.T) {
	d := Read([]byte("\"\x1b[2Jkey\" = 1\n"+strings.Repeat("k", 500)+" = 1\n"), 1000)
	err := d.Finish()
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(err.Error(), "\x1b"))
	assert.Assert(t, len(err.Error()) < 400, "%d", len(err.Error()))
}

func TestByteOrderMarkAndCRLFAreAccepted(t *testing.T) {
	d := Read([]byte("\xef\xbb\xbfa = 1\r\nb = x\r\n"), 1000)
	assert.Equal(t, Required(d.Root, "a", Integer(0, 9)), int64(1))
	Required(d.Root, "b", Text)
	assert.ErrorContains(t, d.Finish(), "2: b: syntax: ")
}

func TestReadRefusesTextBeyondLimit(t *testing.T) {
	d := Read(make([]byte, 11), 10)
	Required(d.Root, "key", Text)
	assert.Error(t, d.Finish(), "1: 11 bytes are more than the limit of 10")
}

func TestReadFileLimitsDeviceWithoutEnd(t *testing.T) {
	text, err := ReadFile("/dev/zero", 1000)
	assert.NilError(t, err)
	assert.Equal(t, len(text), 1001)
	assert.ErrorContains(t, Read(text, 1000).Finish(), "1001 bytes are more than the limit of 1000")
	_, err = ReadFile(t.TempDir(), 1000)
	assert.ErrorContains(t, err, "is a directory")
}
