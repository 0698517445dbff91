// Package plotter draws grouped bar charts as SVG.
package plotter

import (
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strings"
)

// Sizes are in pixels.
const (
	chartHeight  = 260
	plotHeight   = 170
	plotTop      = 40
	leftMargin   = 70
	rightMargin  = 20
	barWidth     = 26
	barGap       = 4
	groupGap     = 34
	legendStep   = 160
	labelOffset  = 16
	valueOffset  = 4
	axisTicks    = 4
	minimumWidth = 520
)

// decade is the base of the logarithmic scale.
const decade = 10

var colours = []string{"#1f5f8b", "#d1682b", "#5b8c3a", "#7a4f9a"}

// Chart is one grouped bar chart. A NaN value has no bar.
type Chart struct {
	Title string
	Unit  string
	// Groups are the labels of the horizontal axis and Series the names of the bars in each group.
	Groups []string
	Series []string
	// Values holds one value for each series and group, indexed in this order.
	Values [][]float64
	// Logarithmic selects a logarithmic scale, which starts at the power of ten at or below the
	// smallest positive value.
	Logarithmic bool
}

// Draw writes the charts, one below the other, as one SVG document.
func Draw(w io.Writer, charts []Chart) error {
	width := minimumWidth
	for _, c := range charts {
		width = max(width, c.width())
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, chartHeight*len(charts))
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, c := range charts {
		fmt.Fprintf(&b, `<g transform="translate(0,%d)">`+"\n", i*chartHeight)
		c.draw(&b, width)
		b.WriteString("</g>\n")
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (c Chart) width() int {
	return leftMargin + rightMargin + len(c.Groups)*c.groupWidth()
}

func (c Chart) groupWidth() int {
	return len(c.Series)*(barWidth+barGap) + groupGap
}

func (c Chart) draw(b *strings.Builder, width int) {
	fmt.Fprintf(b, `<text x="%d" y="16" font-size="13" font-weight="bold">%s</text>`+"\n", leftMargin, escape(c.Title+", "+c.Unit))
	for i, s := range c.Series {
		x := leftMargin + i*legendStep
		fmt.Fprintf(b, `<rect x="%d" y="22" width="10" height="10" fill="%s"/><text x="%d" y="31">%s</text>`+"\n", x, colour(i), x+14, escape(s))
	}
	s := c.scale()
	for _, t := range s.ticks() {
		y := s.position(t)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`+"\n", leftMargin, y, width-rightMargin, y)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`+"\n", leftMargin-6, y+4, format(t))
	}
	for g, name := range c.Groups {
		c.drawGroup(b, s, g, name)
	}
}

func (c Chart) drawGroup(b *strings.Builder, s scale, g int, name string) {
	left := leftMargin + g*c.groupWidth() + groupGap/2
	bottom := float64(plotTop + plotHeight)
	for i := range c.Series {
		v := c.Values[i][g]
		if math.IsNaN(v) {
			continue
		}
		x := left + i*(barWidth+barGap)
		y := s.position(v)
		fmt.Fprintf(b, `<rect x="%d" y="%.1f" width="%d" height="%.1f" fill="%s"/>`+"\n", x, y, barWidth, max(bottom-y, 0), colour(i))
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="middle" font-size="9">%s</text>`+"\n", x+barWidth/2, y-valueOffset, format(v))
	}
	middle := left + len(c.Series)*(barWidth+barGap)/2
	fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="middle">%s</text>`+"\n", middle, bottom+labelOffset, escape(name))
}

// scale maps values to vertical positions.
type scale struct {
	low, high   float64
	logarithmic bool
}

func (c Chart) scale() scale {
	low, high := math.Inf(1), 0.0
	for _, values := range c.Values {
		for _, v := range values {
			if math.IsNaN(v) {
				continue
			}
			high = max(high, v)
			if v > 0 {
				low = min(low, v)
			}
		}
	}
	if high == 0 {
		return scale{high: 1}
	}
	if !c.Logarithmic {
		return scale{high: high}
	}
	lowest := math.Pow(decade, math.Floor(math.Log10(low)))
	highest := math.Pow(decade, math.Ceil(math.Log10(high)))
	if highest <= lowest {
		highest = lowest * decade
	}
	return scale{low: lowest, high: highest, logarithmic: true}
}

func (s scale) position(v float64) float64 {
	share := v / s.high
	if s.logarithmic {
		share = math.Log(max(v, s.low)/s.low) / math.Log(s.high/s.low)
	}
	return plotTop + plotHeight*(1-share)
}

func (s scale) ticks() []float64 {
	var ticks []float64
	if s.logarithmic {
		for t := s.low; t <= s.high*1.0001; t *= decade {
			ticks = append(ticks, t)
		}
		return ticks
	}
	for i := range axisTicks + 1 {
		ticks = append(ticks, s.high*float64(i)/axisTicks)
	}
	return ticks
}

func colour(i int) string {
	return colours[i%len(colours)]
}

func format(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func escape(s string) string {
	var b strings.Builder
	// A write to a strings.Builder never returns an error.
	_ = xml.EscapeText(&b, []byte(s))
	return b.String()
}
