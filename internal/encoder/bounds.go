package encoder

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// maxDepth is the maximum nesting depth of arrays and maps in a message.
	maxDepth = 32
	// maxElements is the maximum number of array elements in a message, summed over all arrays.
	maxElements = 1 << 20
)

// boundsChecker scans an encoded message before it is decoded. The msgpack library allocates
// an array of whatever length its header declares, so 13 bytes could request more memory than
// a host has. It also skips unknown fields with unbounded recursion.
type boundsChecker struct {
	remaining []byte
	elements  int
}

// checkBounds returns an error if a message declares more elements than it has bytes, has more
// than maxElements array elements, or is nested deeper than maxDepth.
func checkBounds(b []byte) error {
	return (&boundsChecker{remaining: b}).checkValue(0)
}

// checkValue consumes one value at the given nesting depth.
func (c *boundsChecker) checkValue(depth int) error {
	if depth > maxDepth {
		return eris.New("nested too deep")
	}
	head, err := c.readUint(1)
	if err != nil {
		return err
	}
	switch code := byte(head); {
	case code <= 0x7f || code >= 0xe0 || code == 0xc0 || code == 0xc2 || code == 0xc3:
		return nil
	case code <= 0x8f:
		return c.checkValues(2*uint64(code&0x0f), depth)
	case code <= 0x9f:
		return c.checkArray(uint64(code&0x0f), depth)
	case code <= 0xbf:
		return c.skip(uint64(code & 0x1f))
	default:
		return c.checkExtended(code, depth)
	}
}

// checkExtended consumes the rest of a value whose length or content follows its type code.
func (c *boundsChecker) checkExtended(code byte, depth int) error {
	switch code {
	case 0xc4, 0xc5, 0xc6:
		return c.skipSized(1<<(code-0xc4), 0)
	case 0xc7, 0xc8, 0xc9:
		return c.skipSized(1<<(code-0xc7), 1)
	case 0xca, 0xcb:
		return c.skip(4 << (code - 0xca))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return c.skip(1 << (code - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3:
		return c.skip(1 << (code - 0xd0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return c.skip(1 + 1<<(code-0xd4))
	case 0xd9, 0xda, 0xdb:
		return c.skipSized(1<<(code-0xd9), 0)
	case 0xdc, 0xdd:
		n, err := c.readUint(2 << (code - 0xdc))
		if err != nil {
			return err
		}
		return c.checkArray(n, depth)
	case 0xde, 0xdf:
		n, err := c.readUint(2 << (code - 0xde))
		if err != nil {
			return err
		}
		return c.checkValues(2*n, depth)
	default:
		return eris.Errorf("code %#x is not msgpack", code)
	}
}

// checkArray consumes the n elements of an array and counts them toward maxElements.
func (c *boundsChecker) checkArray(n uint64, depth int) error {
	if n > uint64(maxElements-c.elements) {
		return eris.New("too many array elements")
	}
	c.elements += int(n)
	return c.checkValues(n, depth)
}

// checkValues consumes the n values inside an array or a map. Each takes at least one byte.
func (c *boundsChecker) checkValues(n uint64, depth int) error {
	if n > uint64(len(c.remaining)) {
		return eris.New("declares more values than there are bytes")
	}
	for range n {
		if err := c.checkValue(depth + 1); err != nil {
			return err
		}
	}
	return nil
}

// skipSized reads a length that is width bytes long and skips that many bytes plus extra.
func (c *boundsChecker) skipSized(width int, extra uint64) error {
	n, err := c.readUint(width)
	if err != nil {
		return err
	}
	return c.skip(n + extra)
}

// readUint reads a big-endian unsigned integer of 1, 2 or 4 bytes.
func (c *boundsChecker) readUint(width int) (uint64, error) {
	b := c.remaining
	if err := c.skip(uint64(width)); err != nil {
		return 0, err
	}
	switch width {
	case 1:
		return uint64(b[0]), nil
	case 2:
		return uint64(binary.BigEndian.Uint16(b)), nil
	default:
		return uint64(binary.BigEndian.Uint32(b)), nil
	}
}

// skip consumes n bytes. It returns an error if fewer remain.
func (c *boundsChecker) skip(n uint64) error {
	if n > uint64(len(c.remaining)) {
		return eris.New("ends early")
	}
	c.remaining = c.remaining[n:]
	return nil
}
