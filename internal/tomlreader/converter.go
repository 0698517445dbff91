package tomlreader

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"
)

// kind is the TOML type of a value. Types that no converter accepts are all kindOther.
type kind uint8

const (
	kindOther kind = iota
	kindText
	kindFlag
	kindNumber
	kindInteger
	kindList
)

// kindOf converts the parser's kind.
func kindOf(k unstable.Kind) kind {
	switch k {
	case unstable.String:
		return kindText
	case unstable.Bool:
		return kindFlag
	case unstable.Float:
		return kindNumber
	case unstable.Integer:
		return kindInteger
	case unstable.Array:
		return kindList
	default:
		return kindOther
	}
}

// Value is a value of a document before its conversion.
type Value struct {
	kind  kind
	text  string
	line  int
	items []Value
}

// Converter validates a value and converts it to a Go value. The text of its error is the problem
// that is reported for the key.
type Converter[V any] func(v Value) (V, error)

// maxTextBytes limits the size of texts other than names.
const maxTextBytes = 4096

// maxNameBytes limits the size of names.
const maxNameBytes = 64

// Text accepts a string of 1 to maxTextBytes bytes.
func Text(v Value) (string, error) {
	if v.kind != kindText {
		return "", eris.New("must be a text in quotes")
	}
	if v.text == "" {
		return "", eris.New("must not be empty")
	}
	if len(v.text) > maxTextBytes {
		return "", eris.Errorf("is longer than %d bytes", maxTextBytes)
	}
	return v.text, nil
}

// Name accepts a string of 1 to maxNameBytes ASCII letters, digits, underscores and hyphens.
func Name[N ~string](v Value) (N, error) {
	text, err := Text(v)
	if err != nil {
		return "", err
	}
	if len(text) > maxNameBytes {
		return "", eris.Errorf("is longer than %d bytes", maxNameBytes)
	}
	if !isBareKey(text) {
		return "", eris.Errorf("%q may hold only the letters a to z and A to Z, digits, underscores and hyphens", text)
	}
	return N(text), nil
}

// Flag accepts true and false.
func Flag(v Value) (bool, error) {
	if v.kind != kindFlag {
		return false, eris.New("must be true or false, without quotes")
	}
	return v.text == "true", nil
}

// Integer accepts a decimal integer from minimum to maximum.
func Integer(minimum, maximum int64) Converter[int64] {
	return func(v Value) (int64, error) {
		if v.kind != kindInteger {
			return 0, eris.New("must be a whole number without quotes")
		}
		digits := strings.ReplaceAll(v.text, "_", "")
		i, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || hasLeadingZero(digits) {
			return 0, eris.Errorf("%s is not a decimal number of at most 64 bits", v.text)
		}
		if i < minimum || i > maximum {
			return 0, eris.Errorf("must be from %d to %d, not %s", minimum, maximum, v.text)
		}
		return i, nil
	}
}

// hasLeadingZero reports whether digits begin with a zero that TOML does not allow.
func hasLeadingZero(digits string) bool {
	digits = strings.TrimLeft(digits, "+-")
	return len(digits) > 1 && digits[0] == '0'
}

// Number accepts an integer or floating-point number from minimum to maximum.
func Number(minimum, maximum float64) Converter[float64] {
	return func(v Value) (float64, error) {
		if v.kind != kindInteger && v.kind != kindNumber {
			return 0, eris.New("must be a number without quotes")
		}
		f, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
		if err != nil || math.IsNaN(f) {
			return 0, eris.Errorf("%s is not a decimal number", v.text)
		}
		if f < minimum || f > maximum {
			return 0, eris.Errorf("must be from %g to %g, not %s", minimum, maximum, v.text)
		}
		return f, nil
	}
}

// Duration accepts a string such as "250ms" for a duration from minimum to maximum.
func Duration(minimum, maximum time.Duration) Converter[time.Duration] {
	return func(v Value) (time.Duration, error) {
		if v.kind != kindText {
			return 0, eris.New(`must be a duration in quotes with a unit, such as "250ms" or "5s"`)
		}
		d, err := time.ParseDuration(v.text)
		if err != nil {
			return 0, eris.Errorf(`%q is not a duration with a unit, such as "250ms" or "5s"`, v.text)
		}
		if d < minimum || d > maximum {
			return 0, eris.Errorf("must be from %s to %s, not %s", minimum, maximum, v.text)
		}
		return d, nil
	}
}

// OneOf accepts the text of one of the values and returns that value.
func OneOf[E fmt.Stringer](values []E) Converter[E] {
	return func(v Value) (E, error) {
		var zero E
		names := make([]string, len(values))
		for i, e := range values {
			if v.kind == kindText && v.text == e.String() {
				return e, nil
			}
			names[i] = strconv.Quote(e.String())
		}
		if v.kind == kindText {
			return zero, eris.Errorf("must be one of %s, not %q", strings.Join(names, ", "), v.text)
		}
		return zero, eris.Errorf("must be one of %s", strings.Join(names, ", "))
	}
}

// Host accepts the IP address of a host. It refuses unspecified and multicast addresses.
func Host(v Value) (netip.Addr, error) {
	if v.kind != kindText {
		return netip.Addr{}, eris.New(`must be an IP number in quotes, such as "10.0.0.1"`)
	}
	a, err := netip.ParseAddr(v.text)
	if err != nil || a.IsUnspecified() || a.IsMulticast() {
		return netip.Addr{}, eris.Errorf(`%q is not the IP number of a host, such as "10.0.0.1"`, v.text)
	}
	return a, nil
}

// Address accepts an IP address and a port, such as "10.0.0.1:7100". It refuses unspecified and
// multicast addresses and port 0.
func Address(v Value) (netip.AddrPort, error) {
	if v.kind != kindText {
		return netip.AddrPort{}, eris.New(`must be an address in quotes, such as "10.0.0.1:7100"`)
	}
	a, err := netip.ParseAddrPort(v.text)
	if err != nil {
		return netip.AddrPort{}, eris.Errorf(`%q is not an IP number with a port, such as "10.0.0.1:7100"`, v.text)
	}
	if a.Addr().IsUnspecified() {
		return netip.AddrPort{}, eris.Errorf("%q names no host: other hosts must be able to use the address", v.text)
	}
	if a.Addr().IsMulticast() {
		return netip.AddrPort{}, eris.Errorf("%q is a multicast address", v.text)
	}
	if a.Port() == 0 {
		return netip.AddrPort{}, eris.Errorf("%q has no port", v.text)
	}
	return a, nil
}

// List accepts an array of at most maximum values and converts each of them.
func List[V any](maximum int, convert Converter[V]) Converter[[]V] {
	return func(v Value) ([]V, error) {
		if v.kind != kindList {
			return nil, eris.New("must be a list in square brackets")
		}
		if len(v.items) > maximum {
			return nil, eris.Errorf("holds %d values, more than the limit of %d", len(v.items), maximum)
		}
		list := make([]V, 0, len(v.items))
		for i, item := range v.items {
			converted, err := convert(item)
			if err != nil {
				return nil, eris.Errorf("value %d: %v", i+1, err)
			}
			list = append(list, converted)
		}
		return list, nil
	}
}
