package plotter

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// expectDrawn checks that a chart is drawn as well-formed XML with the given number of bars.
func expectDrawn(t *testing.T, c Chart, bars int) {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, Draw(&b, []Chart{c}))
	rectangles := 0
	d := xml.NewDecoder(&b)
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "rect" {
			rectangles++
		}
	}
	assert.Equal(t, rectangles, 1+len(c.Series)+bars)
}

func TestChartsAreWellFormedXML(t *testing.T) {
	c := Chart{Title: "a < b", Groups: []string{"60%", "75%"}, Series: []string{"x", "y"}, Values: [][]float64{{1, 2}, {300, math.NaN()}}}
	expectDrawn(t, c, 3)
	c.Logarithmic = true
	expectDrawn(t, c, 3)
	c.Values = [][]float64{{0, 0}, {0, 0}}
	expectDrawn(t, c, 4)
}

func TestLogarithmicScale(t *testing.T) {
	s := Chart{Values: [][]float64{{20, 400}}, Logarithmic: true}.scale()
	assert.DeepEqual(t, s.ticks(), []float64{10, 100, 1000})
	assert.Equal(t, s.position(1000), float64(plotTop))
	assert.Equal(t, s.position(10), float64(plotTop+plotHeight))
}
